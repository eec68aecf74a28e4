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
import org.lockdale.gateway.weights.TargetVersion;
import org.lockdale.gateway.weights.TargetWeights;
import org.tinylog.Logger;

/**
 * Updates the sections {@code configuration} and {@code weights} of the blackboard from the
 * operators' table. A configuration is never replaced by an older version. Where a row can't be
 * read, the last valid version stays in effect.
 */
final class OperatorController implements TableFollower.Listener {

  /**
   * Time from the start of a process until its first code runs, and from the end of an interruption
   * until the table is read again. With 0.75 of a core, a node completes its start 0.5 to 0.7 s
   * after the start of its process.
   */
  private static final long RESUME_MILLIS = 600;

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
   * @param blackboard shared state to update
   * @param records parser of the operators' rows
   * @param time clock
   * @param startedAtMillis monotonic time at which the first code of the process ran
   * @param weightsBound longest time for which older weights may serve after a new target version
   *     was set
   * @param catchUp time after a start or an interruption at which every time bound applies to the
   *     node again
   * @param onConfiguration called after a newer configuration took effect
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
    this.estimatedAgeMillis = weightsBound.minus(catchUp).toMillis() + RESUME_MILLIS;
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
      } else if (each instanceof OperatorRecord.TargetVersionSet target) {
        weights.merge(target.model(), target.version(), Math::max);
      }
    }
    publishWeights(weights);
    return newest;
  }

  private GatewayConfiguration newerOf(GatewayConfiguration inForce, GatewayConfiguration read) {
    if (read.version() <= inForce.version()) {
      return inForce;
    }
    Logger.info(
        "event=configuration-in-force version={} last-proof-age-ms={}",
        read.version(),
        lastProofMillis == NEVER ? "none" : time.monotonicMillis() - lastProofMillis);
    return read;
  }

  private void publishWeights(Map<String, Long> newest) {
    long now = time.monotonicMillis();
    TargetWeights known = blackboard.weights().value();
    // A version that was set while this node could not read the table may be due already. Its age
    // is estimated such that it becomes due just when the bound applies to the node again, whatever
    // the bound. With a fixed age, a restarted node could serve old weights beyond the bound.
    boolean first = lastProofMillis == NEVER;
    long estimate = (first ? startedAtMillis : now) - estimatedAgeMillis;
    boolean observed = lastProofMillis >= estimate;
    long notBefore = observed ? lastProofMillis : estimate;
    newest.forEach((model, version) -> logNew(known, model, version, now - notBefore, !observed));
    TargetWeights targets =
        observed ? known.with(newest, notBefore) : known.withEstimate(newest, notBefore);
    blackboard.weights().publish(targets, notBefore);
  }

  private static void logNew(
      TargetWeights known, String model, long version, long ageMillis, boolean estimated) {
    if (known.newest(model).orElse(Long.MIN_VALUE) < version) {
      Logger.info(
          "event=weights-named model={} version={} believed-age-ms={} estimated={}",
          model,
          version,
          ageMillis,
          estimated);
    }
  }

  /** Merges the times at which other nodes observed that target versions of a model were set. */
  void onObservedByPeers(String model, List<TargetVersion> versions) {
    TargetWeights known = blackboard.weights().value();
    TargetWeights merged = known.withObserved(model, versions);
    if (merged.versionsOf(model).equals(known.versionsOf(model))) {
      return;
    }
    Logger.info(
        "event=weights-ages-learned model={} versions={} ages-ms={}",
        model,
        merged.versionsOf(model).stream().map(TargetVersion::version).toList(),
        merged.versionsOf(model).stream()
            .map(version -> time.monotonicMillis() - version.notBeforeMillis())
            .toList());
    blackboard.weights().publish(merged, time.monotonicMillis());
  }
}
