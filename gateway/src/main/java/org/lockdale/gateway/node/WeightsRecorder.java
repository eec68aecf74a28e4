package org.lockdale.gateway.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.RecordedWeights;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.weights.NamedVersion;
import org.lockdale.gateway.weights.NamedWeights;
import org.tinylog.Logger;

/**
 * Records in the nodes' own table when weights were named, and takes in what is recorded. The row
 * that names weights does not tell its time; without the record a node that starts would have to
 * guess it, and would guess otherwise than the nodes that were there. One write for each version of
 * a model. Runs on one event loop.
 */
final class WeightsRecorder {

  private final Section<NamedWeights> weights;
  private final ClusterTable table;
  private final StoreClock clock;
  private final BooleanSupplier responsible;
  private final Time time;
  private final Map<String, RecordedWeights> recorded = new HashMap<>();
  private final Set<String> writing = new HashSet<>();

  /**
   * Creates a recorder.
   *
   * @param weights versions that operators have named
   * @param table where they are recorded
   * @param clock the store's clock
   * @param responsible whether this node records at present; more than one does no harm
   * @param time clock
   */
  WeightsRecorder(
      Section<NamedWeights> weights,
      ClusterTable table,
      StoreClock clock,
      BooleanSupplier responsible,
      Time time) {
    this.weights = weights;
    this.table = table;
    this.clock = clock;
    this.responsible = responsible;
    this.time = time;
  }

  /** Takes in what is recorded. */
  void observed(RecordedWeights row) {
    recorded.put(row.model(), row);
    List<NamedVersion> witnessed = new ArrayList<>();
    for (RecordedWeights.Naming naming : row.namings()) {
      long notBefore = clock.localMillis(naming.notBeforeStoreMillis());
      witnessed.add(new NamedVersion(naming.version(), notBefore, false));
    }
    NamedWeights known = weights.value();
    weights.publish(known.withWitnessed(row.model(), witnessed), time.monotonicMillis());
  }

  /** Records what is not recorded yet; to be called from time to time. */
  void tick() {
    if (!responsible.getAsBoolean()) {
      return;
    }
    NamedWeights named = weights.value();
    for (String model : named.models()) {
      RecordedWeights row = rowOf(model, named.versionsOf(model));
      if (!writing.contains(model) && !isRecorded(row)) {
        write(row);
      }
    }
  }

  private RecordedWeights rowOf(String model, List<NamedVersion> versions) {
    List<RecordedWeights.Naming> namings = new ArrayList<>();
    for (NamedVersion named : versions) {
      if (!named.estimated()) {
        long notBefore = clock.storeMillis(named.notBeforeMillis());
        namings.add(new RecordedWeights.Naming(named.version(), notBefore));
      }
    }
    return new RecordedWeights(model, namings);
  }

  private boolean isRecorded(RecordedWeights row) {
    Set<Long> known = new HashSet<>();
    RecordedWeights before = recorded.get(row.model());
    if (before != null) {
      before.namings().forEach(naming -> known.add(naming.version()));
    }
    return row.namings().stream().allMatch(naming -> known.contains(naming.version()));
  }

  /** A write that fails is repeated with a later tick, since nothing is taken for recorded yet. */
  private void write(RecordedWeights row) {
    writing.add(row.model());
    table
        .record(row)
        .whenComplete(
            (done, failure) -> {
              writing.remove(row.model());
              if (failure == null) {
                recorded.put(row.model(), row);
              } else {
                Logger.info(
                    "event=weights-not-recorded model={} cause={}",
                    row.model(),
                    failure.getMessage());
              }
            });
  }
}
