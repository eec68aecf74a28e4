package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Records in the shared store to which backends suspect requests are being sent. Each attempt has a
 * row of its own. If a node is killed before it learns the outcome of an attempt, the row remains;
 * once the incarnation that it was sent to is known to have ended, this counts as a crash of the
 * backend while it ran the request. Runs on one event loop.
 */
final class AttemptJournal {

  /**
   * Maximum number of attempts of this node that are recorded at the same time; further ones are
   * not recorded.
   */
  private static final int MAX_IN_FLIGHT = 32;

  /**
   * How long the row of a lost attempt is kept. The attempt may have been running when its backend
   * crashed; after this time it is known whether the backend crashed.
   */
  private static final long UNCERTAIN_RETENTION_MILLIS = 10_000;

  /** How long a row is kept if its node does not remove it. */
  private static final long ORPHAN_RETENTION_MILLIS = 30_000;

  /**
   * An incarnation counts as ended if, this long after the row of the attempt was first read, no
   * incarnation of its server has a record.
   */
  private static final long MISSING_RECORD_MILLIS = 5_000;

  /** The row of an attempt of this process. */
  private static final class OwnRow {
    private boolean inProgress = true;
    private boolean written;
    private boolean writing;

    /** Whether the backend may have crashed because of the attempt. */
    private boolean uncertain;

    /** Monotonic time at which the attempt started, or was concluded if it has been. */
    private long sinceMillis;

    OwnRow(long startedAtMillis) {
      this.sinceMillis = startedAtMillis;
    }

    boolean isDue(long nowMillis) {
      long retention = uncertain ? UNCERTAIN_RETENTION_MILLIS : 0;
      return !inProgress && !writing && nowMillis - sinceMillis >= retention;
    }
  }

  private final SuspectTable table;
  private final AttemptIds ids;
  private final Executor eventLoop;
  private final Time time;

  private final Map<SuspectAttempt, OwnRow> own = new LinkedHashMap<>();

  /** Monotonic times at which rows of other nodes or of earlier processes were first read. */
  private final Map<SuspectAttempt, Long> firstReadAt = new LinkedHashMap<>();

  private final Set<SuspectAttempt> reported = new HashSet<>();

  /** Rows whose removal is in progress. */
  private final Set<SuspectAttempt> removing = new HashSet<>();

  AttemptJournal(SuspectTable table, AttemptIds ids, Executor eventLoop, Time time) {
    this.table = table;
    this.ids = ids;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /** Records that an attempt is about to be sent. */
  void recordStart(SuspectAttempt attempt) {
    long inFlight = own.values().stream().filter(row -> row.inProgress).count();
    if (inFlight >= MAX_IN_FLIGHT) {
      return;
    }
    OwnRow row = new OwnRow(time.monotonicMillis());
    own.put(attempt, row);
    write(attempt, row);
  }

  private void write(SuspectAttempt attempt, OwnRow row) {
    row.writing = true;
    table
        .recordAttempt(attempt)
        .whenCompleteAsync(
            (done, failure) -> {
              row.writing = false;
              row.written = failure == null;
              removeDue();
            },
            eventLoop);
  }

  /**
   * Records that an attempt has been concluded.
   *
   * @param uncertain whether its backend may have crashed because of it
   */
  void recordConclusion(SuspectAttempt attempt, boolean uncertain) {
    OwnRow row = own.get(attempt);
    if (row == null || !row.inProgress) {
      return;
    }
    row.inProgress = false;
    row.uncertain = uncertain;
    row.sinceMillis = time.monotonicMillis();
    removeDue();
  }

  /** Processes all rows of the store. */
  void update(Collection<SuspectAttempt> rows) {
    Set<SuspectAttempt> present = new HashSet<>(rows);
    firstReadAt.keySet().retainAll(present);
    reported.retainAll(present);
    long now = time.monotonicMillis();
    for (SuspectAttempt row : rows) {
      if (!ids.isOfThisProcess(row.id())) {
        firstReadAt.putIfAbsent(row, now);
      }
    }
  }

  /**
   * Returns attempts of other nodes, or of this one before it restarted, that have not been
   * concluded and whose backends have ended, each attempt once; to be called periodically.
   *
   * @param backends backends that have a record
   */
  List<SuspectAttempt> takeCrashed(BackendTable backends) {
    List<SuspectAttempt> crashed = new ArrayList<>();
    firstReadAt.forEach(
        (attempt, readAtMillis) -> {
          if (!reported.contains(attempt) && hasEnded(attempt.backend(), backends, readAtMillis)) {
            reported.add(attempt);
            crashed.add(attempt);
          }
        });
    return crashed;
  }

  private boolean hasEnded(String backendId, BackendTable backends, long firstReadAtMillis) {
    TrackedBackend tracked = backends.find(backendId);
    if (tracked != null) {
      return tracked.hasEnded();
    }
    Incarnation incarnation = Incarnation.parse(backendId);
    TrackedBackend present = backends.resolve(incarnation.server());
    if (present != null) {
      return incarnation.isBefore(present.backend().incarnation());
    }
    boolean anyRecordRead = !backends.all().isEmpty();
    return anyRecordRead && time.monotonicMillis() - firstReadAtMillis >= MISSING_RECORD_MILLIS;
  }

  /**
   * Writes and removes rows that are due; to be called periodically.
   *
   * @param coordinator whether this node removes rows that other nodes have left behind
   */
  void tick(boolean coordinator) {
    for (Map.Entry<SuspectAttempt, OwnRow> each : List.copyOf(own.entrySet())) {
      OwnRow row = each.getValue();
      if (row.inProgress && !row.written && !row.writing) {
        write(each.getKey(), row);
      }
    }
    removeDue();
    if (coordinator) {
      long now = time.monotonicMillis();
      for (Map.Entry<SuspectAttempt, Long> each : List.copyOf(firstReadAt.entrySet())) {
        if (now - each.getValue() >= ORPHAN_RETENTION_MILLIS) {
          remove(each.getKey());
        }
      }
    }
  }

  private void removeDue() {
    long now = time.monotonicMillis();
    for (Map.Entry<SuspectAttempt, OwnRow> each : List.copyOf(own.entrySet())) {
      if (each.getValue().isDue(now)) {
        remove(each.getKey());
      }
    }
  }

  private void remove(SuspectAttempt attempt) {
    if (!removing.add(attempt)) {
      return;
    }
    table
        .removeAttempt(attempt)
        .whenCompleteAsync(
            (@Nullable Void done, @Nullable Throwable failure) -> {
              removing.remove(attempt);
              if (failure == null) {
                own.remove(attempt);
                firstReadAt.remove(attempt);
              }
            },
            eventLoop);
  }
}
