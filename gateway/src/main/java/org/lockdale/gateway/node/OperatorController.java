package org.lockdale.gateway.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.OperatorRecord;
import org.lockdale.gateway.table.RowReader;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.gateway.weights.NamedWeights;
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
  private final RowReader<OperatorRecord> reader;
  private final Time time;
  private long lastProofMillis = Long.MIN_VALUE / 2;

  OperatorController(GatewayBlackboard blackboard, SharedRecords records, Time time) {
    this.blackboard = blackboard;
    this.reader = new RowReader<>(records::operatorRecord);
    this.time = time;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    GatewayConfiguration inForce = blackboard.configuration().value();
    if (changed) {
      inForce = accept(inForce, reader.read(rows));
    }
    blackboard.configuration().publish(inForce, provenAtMillis);
    lastProofMillis = provenAtMillis;
  }

  private GatewayConfiguration accept(GatewayConfiguration inForce, List<OperatorRecord> records) {
    GatewayConfiguration newest = inForce;
    Map<String, Long> weights = new HashMap<>();
    for (OperatorRecord each : records) {
      if (each instanceof OperatorRecord.Configured configured) {
        newest = newerOf(newest, configured.configuration());
      } else if (each instanceof OperatorRecord.WeightsNamed named) {
        weights.merge(named.model(), named.version(), Math::max);
      }
    }
    publishWeights(weights);
    return newest;
  }

  private static GatewayConfiguration newerOf(
      GatewayConfiguration inForce, GatewayConfiguration read) {
    if (read.version() <= inForce.version()) {
      return inForce;
    }
    Logger.info("event=configuration-in-force version={}", read.version());
    return read;
  }

  private void publishWeights(Map<String, Long> newest) {
    long now = time.monotonicMillis();
    long notBefore = Math.max(lastProofMillis, now - MAX_UNSEEN_MILLIS);
    NamedWeights known = blackboard.weights().value();
    newest.forEach((model, version) -> logNew(known, model, version, now - notBefore));
    blackboard.weights().publish(known.with(newest, notBefore), notBefore);
  }

  private static void logNew(NamedWeights known, String model, long version, long ageMillis) {
    if (known.newest(model).orElse(Long.MIN_VALUE) < version) {
      Logger.info(
          "event=weights-named model={} version={} believed-age-ms={}", model, version, ageMillis);
    }
  }
}
