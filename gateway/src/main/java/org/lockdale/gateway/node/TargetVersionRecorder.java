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
import org.lockdale.gateway.cluster.RecordedTargetVersions;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.weights.TargetVersion;
import org.lockdale.gateway.weights.TargetWeights;
import org.tinylog.Logger;

/**
 * Records in the cluster table when target versions of weights were set, and reads these records.
 * The operators' row that sets a version holds no time. Without the record, a node that starts
 * would have to estimate it, and would differ from the nodes that observed the change. Writes once
 * for each version of a model. Runs on one event loop.
 */
final class TargetVersionRecorder {

  /** Maximum number of versions recorded for a model; older ones have long been due. */
  private static final int MAX_RECORDED = 16;

  /** Delay of the first retry of a failed write; it doubles with each further failure. */
  private static final long FIRST_RETRY_MILLIS = 500;

  private static final long MAX_RETRY_MILLIS = 8_000;

  private final Section<TargetWeights> weights;
  private final ClusterTable table;
  private final StoreClock clock;
  private final BooleanSupplier responsible;
  private final Executor eventLoop;
  private final Time time;

  /** Recorded times in milliseconds of the store's clock, by model and version. */
  private final Map<String, TreeMap<Long, Long>> recorded = new HashMap<>();

  private final Set<String> writing = new HashSet<>();
  private long retryMillis;
  private long retryAtMillis = Long.MIN_VALUE;

  /**
   * Creates a recorder.
   *
   * @param weights target versions that operators have set
   * @param table table in which they are recorded
   * @param clock converts between the store's clock and the clock of this node
   * @param responsible whether this node currently records; it is harmless if several nodes do
   * @param eventLoop event loop that runs the recorder
   * @param time clock
   */
  TargetVersionRecorder(
      Section<TargetWeights> weights,
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

  /** Processes a row of the table and returns its versions with times of this node's clock. */
  List<TargetVersion> observe(RecordedTargetVersions row) {
    long now = time.monotonicMillis();
    TreeMap<Long, Long> known = recordedOf(row.model());
    List<TargetVersion> versions = new ArrayList<>();
    for (RecordedTargetVersions.Entry entry : row.entries()) {
      known.put(entry.version(), entry.notBeforeStoreMillis());
      // A version can't have been set after it was read, whatever time the writer recorded.
      long notBefore = Math.min(now, clock.localMillis(entry.notBeforeStoreMillis()));
      versions.add(new TargetVersion(entry.version(), notBefore, false));
    }
    return versions;
  }

  /**
   * Processes a restore of the store from an older copy. Versions that it lacks are recorded again.
   *
   * @param rows records that the store holds now
   */
  void onHistoryReplaced(List<RecordedTargetVersions> rows) {
    recorded.clear();
    rows.forEach(
        row ->
            row.entries()
                .forEach(
                    entry ->
                        recordedOf(row.model())
                            .put(entry.version(), entry.notBeforeStoreMillis())));
  }

  private TreeMap<Long, Long> recordedOf(String model) {
    return recorded.computeIfAbsent(model, name -> new TreeMap<>());
  }

  /** Records versions that are not yet recorded. Must be called periodically. */
  void tick() {
    if (!responsible.getAsBoolean() || time.monotonicMillis() < retryAtMillis) {
      return;
    }
    TargetWeights targets = weights.value();
    for (String model : targets.models()) {
      TreeMap<Long, Long> complete = new TreeMap<>(recordedOf(model));
      for (TargetVersion version : targets.versionsOf(model)) {
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
    List<RecordedTargetVersions.Entry> entries = new ArrayList<>();
    times.forEach(
        (version, store) -> entries.add(new RecordedTargetVersions.Entry(version, store)));
    writing.add(model);
    table
        .writeTargetVersions(new RecordedTargetVersions(model, entries))
        .whenCompleteAsync((done, failure) -> onWritten(model, times, failure), eventLoop);
  }

  private void onWritten(String model, TreeMap<Long, Long> times, @Nullable Throwable failure) {
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
