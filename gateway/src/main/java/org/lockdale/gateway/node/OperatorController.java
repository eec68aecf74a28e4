package org.lockdale.gateway.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.OperatorRecord;
import org.lockdale.gateway.table.RowReader;
import org.lockdale.gateway.table.SharedRecords;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.gateway.weights.NamedVersion;
import org.lockdale.gateway.weights.NamedWeights;
import org.tinylog.Logger;

/**
 * Keeps the sections {@code configuration} and {@code weights} from the operators' table. A version
 * once in force is never left for an older one, and one that can't be read leaves the last good one
 * in force.
 */
final class OperatorController implements TableFollower.Listener {

  /**
   * Time from the start of a process until its first code runs, and from the end of a break until
   * the table is read again. A node with 0.75 of a core logged its whole start 0.5 to 0.7 s after
   * its process began.
   */
  private static final long RETURN_MILLIS = 600;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final GatewayBlackboard blackboard;
  private final RowReader<OperatorRecord> reader;
  private final Time time;
  private final long startedAtMillis;
  private final long estimatedAgeMillis;
  private final Runnable onConfiguration;
  private long lastProofMillis = NEVER;

  /**
   * Creates a controller.
   *
   * @param blackboard where to write
   * @param records reads the operators' rows
   * @param time clock
   * @param startedAtMillis monotonic time at which the process began, as far as it can tell
   * @param weightsBound longest time after new weights were named in which older ones may serve
   * @param catchUp time after a start or a break from which the node is held to every bound
   * @param onConfiguration runs once a newer configuration is in force
   */
  OperatorController(
      GatewayBlackboard blackboard,
      SharedRecords records,
      Time time,
      long startedAtMillis,
      Duration weightsBound,
      Duration catchUp,
      Runnable onConfiguration) {
    this.blackboard = blackboard;
    this.reader = new RowReader<>(records::operatorRecord);
    this.time = time;
    this.startedAtMillis = startedAtMillis;
    this.onConfiguration = onConfiguration;
    this.estimatedAgeMillis = weightsBound.minus(catchUp).toMillis() + RETURN_MILLIS;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    GatewayConfiguration before = blackboard.configuration().value();
    GatewayConfiguration inForce = changed ? accept(before, reader.read(rows)) : before;
    blackboard.configuration().publish(inForce, provenAtMillis);
    lastProofMillis = provenAtMillis;
    if (inForce != before) {
      onConfiguration.run();
    }
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
    NamedWeights known = blackboard.weights().value();
    // What was named while this node could not look may be due already. It counts such a version
    // from where the bound is reached just when the node is held to it, however long the bound is:
    // a fixed age would let a node that has just started serve on old weights past the bound.
    boolean first = lastProofMillis == NEVER;
    long estimate = (first ? startedAtMillis : now) - estimatedAgeMillis;
    boolean witnessed = lastProofMillis >= estimate;
    long notBefore = witnessed ? lastProofMillis : estimate;
    newest.forEach((model, version) -> logNew(known, model, version, now - notBefore, !witnessed));
    NamedWeights named =
        witnessed ? known.with(newest, notBefore) : known.withEstimate(newest, notBefore);
    blackboard.weights().publish(named, notBefore);
  }

  private static void logNew(
      NamedWeights known, String model, long version, long ageMillis, boolean estimated) {
    if (known.newest(model).orElse(Long.MIN_VALUE) < version) {
      Logger.info(
          "event=weights-named model={} version={} believed-age-ms={} estimated={}",
          model,
          version,
          ageMillis,
          estimated);
    }
  }

  /** Takes in when other nodes saw the versions of a model named. */
  void onWitnessed(String model, List<NamedVersion> witnessed) {
    NamedWeights known = blackboard.weights().value();
    NamedWeights merged = known.withWitnessed(model, witnessed);
    if (merged.versionsOf(model).equals(known.versionsOf(model))) {
      return;
    }
    Logger.info(
        "event=weights-ages-learned model={} versions={} ages-ms={}",
        model,
        merged.versionsOf(model).stream().map(NamedVersion::version).toList(),
        merged.versionsOf(model).stream()
            .map(named -> time.monotonicMillis() - named.notBeforeMillis())
            .toList());
    blackboard.weights().publish(merged, time.monotonicMillis());
  }
}
