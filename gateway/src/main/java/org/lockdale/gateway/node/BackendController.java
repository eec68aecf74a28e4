package org.lockdale.gateway.node;

import java.util.Map;
import java.util.Optional;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.table.RowReader;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.http.HttpClient;
import org.tinylog.Logger;

/** Keeps the section {@code backends} from the back ends' table. */
final class BackendController implements TableFollower.Listener {

  private final GatewayBlackboard blackboard;
  private final RowReader<Backend> reader;
  private final HttpClient client;

  BackendController(GatewayBlackboard blackboard, SharedRecords records, HttpClient client) {
    this.blackboard = blackboard;
    this.reader = new RowReader<>(row -> Optional.of(records.backend(row)));
    this.client = client;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    BackendTable before = blackboard.backends().value();
    if (!changed) {
      blackboard.backends().publish(before, provenAtMillis);
      return;
    }
    BackendTable after = before.with(reader.read(rows));
    if (after.sameRecordsAs(before)) {
      // Rows hold more than the records do, such as the time of the last sign of life.
      blackboard.backends().publish(before, provenAtMillis);
      return;
    }
    after.all().forEach(blackboard.rollout().value()::observe);
    blackboard.backends().publish(after, provenAtMillis);
    before.all().stream()
        .filter(gone -> after.find(gone.backend().id()) == null)
        .forEach(gone -> client.forget(gone.backend().address()));
    Logger.info("event=backends-changed count={}", after.all().size());
  }
}
