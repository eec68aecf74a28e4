package org.lockdale.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.table.MalformedRecordException;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.http.HttpClient;
import org.tinylog.Logger;

/** Keeps the section {@code backends} from the back ends' table. */
final class BackendController implements TableFollower.Listener {

  private final GatewayBlackboard blackboard;
  private final SharedRecords records;
  private final HttpClient client;

  BackendController(GatewayBlackboard blackboard, SharedRecords records, HttpClient client) {
    this.blackboard = blackboard;
    this.records = records;
    this.client = client;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    BackendTable before = blackboard.backends().value();
    if (!changed) {
      blackboard.backends().publish(before, provenAtMillis);
      return;
    }
    BackendTable after = before.with(read(rows));
    after.all().forEach(blackboard.rollout().value()::observe);
    blackboard.backends().publish(after, provenAtMillis);
    before.all().stream()
        .filter(gone -> after.find(gone.backend().id()) == null)
        .forEach(gone -> client.forget(gone.backend().address()));
    Logger.info("event=backends-changed count={}", after.all().size());
  }

  private List<Backend> read(Map<String, TableRowChange> rows) {
    List<Backend> backends = new ArrayList<>(rows.size());
    for (TableRowChange row : rows.values()) {
      try {
        backends.add(records.backend(row));
      } catch (MalformedRecordException malformed) {
        Logger.warn("event=backend-rejected cause=\"{}\"", malformed.getMessage());
      }
    }
    return backends;
  }
}
