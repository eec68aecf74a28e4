package org.lockdale.gateway.node;

import java.util.HashMap;
import java.util.Map;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.table.MalformedRecordException;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.tinylog.Logger;

/**
 * Keeps the sections {@code configuration} and {@code weights} from the operators' table. A version
 * once in force is never left for an older one, and one that can't be read leaves the last good one
 * in force.
 */
final class OperatorController implements TableFollower.Listener {

  /**
   * A version of weights that is new to this node was named after the last proof that there was no
   * newer one, but is not taken for older than this: a node that has been out of touch for longer
   * has time to catch up.
   */
  private static final long MAX_UNSEEN_MILLIS = 4_500;

  private final GatewayBlackboard blackboard;
  private final SharedRecords records;
  private final Time time;
  private long lastProofMillis = Long.MIN_VALUE / 2;

  OperatorController(GatewayBlackboard blackboard, SharedRecords records, Time time) {
    this.blackboard = blackboard;
    this.records = records;
    this.time = time;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    GatewayConfiguration inForce = blackboard.configuration().value();
    if (changed) {
      inForce = newerOf(inForce, rows);
      acceptWeights(new HashMap<>(rows));
    }
    blackboard.configuration().publish(inForce, provenAtMillis);
    lastProofMillis = provenAtMillis;
  }

  private GatewayConfiguration newerOf(
      GatewayConfiguration inForce, Map<String, TableRowChange> rows) {
    try {
      GatewayConfiguration read = records.configuration(rows).orElse(inForce);
      if (read.version() <= inForce.version()) {
        return inForce;
      }
      Logger.info("event=configuration-in-force version={}", read.version());
      return read;
    } catch (MalformedRecordException malformed) {
      Logger.warn(
          "event=configuration-rejected in-force={} cause=\"{}\"",
          inForce.version(),
          malformed.getMessage());
      return inForce;
    }
  }

  private void acceptWeights(Map<String, TableRowChange> rows) {
    long notBefore = Math.max(lastProofMillis, time.monotonicMillis() - MAX_UNSEEN_MILLIS);
    try {
      Map<String, Long> newest = records.weights(rows);
      blackboard.weights().publish(blackboard.weights().value().with(newest, notBefore), notBefore);
    } catch (MalformedRecordException malformed) {
      Logger.warn("event=weights-rejected cause=\"{}\"", malformed.getMessage());
    }
  }
}
