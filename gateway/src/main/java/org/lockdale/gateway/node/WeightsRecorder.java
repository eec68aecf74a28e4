package org.lockdale.gateway.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.RecordedWeights;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.weights.NamedVersion;
import org.lockdale.gateway.weights.NamedWeights;
import org.tinylog.Logger;

/**
 * Records in the nodes' own table when weights were named, and reads what is recorded. The row that
 * names weights does not tell its time; without the record a node that starts would have to guess
 * it, and would guess otherwise than the nodes that were there. One write for each version of a
 * model. Runs on one event loop.
 */
final class WeightsRecorder {

  /** Versions of a model that are recorded; older ones have long been due. */
  private static final int MAX_RECORDED = 16;

  /** A write that failed is repeated after this time at first, twice as long each time. */
  private static final long FIRST_RETRY_MILLIS = 500;

  private static final long MAX_RETRY_MILLIS = 8_000;

  private final Section<NamedWeights> weights;
  private final ClusterTable table;
  private final StoreClock clock;
  private final BooleanSupplier responsible;
  private final Executor eventLoop;
  private final Time time;

  /** Recorded times by the store's clock, by model and version. */
  private final Map<String, TreeMap<Long, Long>> recorded = new HashMap<>();

  private final Set<String> writing = new HashSet<>();
  private long retryMillis;
  private long retryAtMillis = Long.MIN_VALUE;

  /**
   * Creates a recorder.
   *
   * @param weights versions that operators have named
   * @param table where they are recorded
   * @param clock the store's clock
   * @param responsible whether this node records at present; more than one does no harm
   * @param eventLoop runs the recorder
   * @param time clock
   */
  WeightsRecorder(
      Section<NamedWeights> weights,
      ClusterTable table,
      StoreClock clock,
      BooleanSupplier responsible,
      Executor eventLoop,
      Time time) {
    this.weights = weights;
    this.table = table;
    this.clock = clock;
    this.responsible = responsible;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /** Takes in what is recorded, and returns it by the clock of this node. */
  List<NamedVersion> observed(RecordedWeights row) {
    long now = time.monotonicMillis();
    TreeMap<Long, Long> known = recordedOf(row.model());
    List<NamedVersion> witnessed = new ArrayList<>();
    for (RecordedWeights.Naming naming : row.namings()) {
      known.put(naming.version(), naming.notBeforeStoreMillis());
      // Nothing was named later than it was read, whatever the writer's clock said.
      long notBefore = Math.min(now, clock.localMillis(naming.notBeforeStoreMillis()));
      witnessed.add(new NamedVersion(naming.version(), notBefore, false));
    }
    return witnessed;
  }

  /**
   * Takes in that the store has come back from an older copy: what it lacks is recorded again.
   *
   * @param rows what it holds
   */
  void historyReplaced(List<RecordedWeights> rows) {
    recorded.clear();
    rows.forEach(
        row ->
            row.namings()
                .forEach(
                    naming ->
                        recordedOf(row.model())
                            .put(naming.version(), naming.notBeforeStoreMillis())));
  }

  private TreeMap<Long, Long> recordedOf(String model) {
    return recorded.computeIfAbsent(model, name -> new TreeMap<>());
  }

  /** Records what is not recorded yet; to be called from time to time. */
  void tick() {
    if (!responsible.getAsBoolean() || time.monotonicMillis() < retryAtMillis) {
      return;
    }
    NamedWeights named = weights.value();
    for (String model : named.models()) {
      TreeMap<Long, Long> complete = new TreeMap<>(recordedOf(model));
      for (NamedVersion version : named.versionsOf(model)) {
        if (!version.estimated()) {
          complete.computeIfAbsent(
              version.version(), unrecorded -> clock.storeMillis(version.notBeforeMillis()));
        }
      }
      boolean isNew = !recordedOf(model).keySet().containsAll(complete.keySet());
      if (isNew && !writing.contains(model)) {
        write(model, complete);
      }
    }
  }

  private void write(String model, TreeMap<Long, Long> times) {
    while (times.size() > MAX_RECORDED) {
      times.pollFirstEntry();
    }
    List<RecordedWeights.Naming> namings = new ArrayList<>();
    times.forEach((version, store) -> namings.add(new RecordedWeights.Naming(version, store)));
    writing.add(model);
    table
        .record(new RecordedWeights(model, namings))
        .whenCompleteAsync((done, failure) -> written(model, times, failure), eventLoop);
  }

  private void written(String model, TreeMap<Long, Long> times, @Nullable Throwable failure) {
    writing.remove(model);
    if (failure == null) {
      recordedOf(model).putAll(times);
      retryMillis = 0;
      return;
    }
    if (retryMillis == 0) {
      Logger.info("event=weights-not-recorded model={} cause={}", model, failure.getMessage());
    }
    retryMillis = Math.min(MAX_RETRY_MILLIS, Math.max(FIRST_RETRY_MILLIS, 2 * retryMillis));
    retryAtMillis = time.monotonicMillis() + retryMillis;
  }
}
