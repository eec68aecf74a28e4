package org.lockdale.gateway.cluster;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.lockdale.gateway.table.TableChanges;
import org.lockdale.gateway.table.TablePeers;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.protocol.generated.TableSlice;
import org.lockdale.protocol.generated.TableSliceRow;

/** Converts between changes of tables and their messages. */
final class TableSliceMessages {

  private TableSliceMessages() {}

  static TableSlice slice(TablePeers.Response response) {
    TableChanges changes = response.changes();
    List<TableSliceRow> rows = new ArrayList<>(changes.rows().size());
    for (TableRowChange row : changes.rows()) {
      ByteBuffer value = ByteBuffer.wrap(row.value());
      rows.add(new TableSliceRow(row.key(), value, row.version(), row.removed()));
    }
    return new TableSlice(
        changes.complete(),
        changes.lastChange(),
        response.storeMillis(),
        response.ageMillis(),
        rows);
  }

  static TablePeers.Response response(TableSlice slice) {
    List<TableRowChange> rows = new ArrayList<>(slice.getRows().size());
    for (TableSliceRow row : slice.getRows()) {
      byte[] value = new byte[row.getValue().remaining()];
      row.getValue().duplicate().get(value);
      rows.add(new TableRowChange(row.getKey(), value, row.getVersion(), row.getRemoved()));
    }
    TableChanges changes =
        new TableChanges(slice.getWhole(), slice.getLastChange(), List.copyOf(rows));
    return new TablePeers.Response(changes, slice.getStoreMillis(), slice.getAgeMillis());
  }
}
