package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Records in the shared store to which backends suspect requests are being sent. If a node is
 * killed before it learns the outcome of an attempt, the row of the attempt remains; once the
 * incarnation that it was sent to is known to have ended, this counts as a crash of the backend
 * while it ran the request. Runs on one event loop.
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

  private final SuspectTable table;
  private final Executor eventLoop;
  private final Time time;

  /** Number of attempts in progress on this node. */
  private final Map<SuspectAttempt, Integer> inFlight = new HashMap<>();

  /** Monotonic times at which rows of attempts that this node has concluded are to be removed. */
  private final Map<SuspectAttempt, Long> removeAt = new HashMap<>();

  /**
   * Monotonic times at which rows written by other nodes, or by this one before it restarted, were
   * first read.
   */
  private final Map<SuspectAttempt, Long> firstReadAt = new HashMap<>();

  private final Set<SuspectAttempt> reported = new HashSet<>();

  AttemptJournal(SuspectTable table, Executor eventLoop, Time time) {
    this.table = table;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /** Records that an attempt is about to be sent. */
  void recordStart(SuspectAttempt attempt) {
    if (inFlight.size() >= MAX_IN_FLIGHT && !inFlight.containsKey(attempt)) {
      return;
    }
    removeAt.remove(attempt);
    if (inFlight.merge(attempt, 1, Integer::sum) == 1) {
      table.recordAttempt(attempt);
    }
  }

  /**
   * Records that an attempt has been concluded.
   *
   * @param uncertain whether its backend may have crashed because of it
   */
  void recordConclusion(SuspectAttempt attempt, boolean uncertain) {
    if (!inFlight.containsKey(attempt)) {
      return;
    }
    if (inFlight.merge(attempt, -1, Integer::sum) == 0) {
      inFlight.remove(attempt);
      removeAt.put(attempt, time.monotonicMillis() + (uncertain ? UNCERTAIN_RETENTION_MILLIS : 0));
      removeDue();
    }
  }

  /** Processes all rows of the store. */
  void update(Collection<SuspectAttempt> rows) {
    Set<SuspectAttempt> present = new HashSet<>(rows);
    firstReadAt.keySet().retainAll(present);
    reported.retainAll(present);
    long now = time.monotonicMillis();
    for (SuspectAttempt row : rows) {
      if (!inFlight.containsKey(row) && !removeAt.containsKey(row)) {
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
    for (Map.Entry<SuspectAttempt, Long> each : firstReadAt.entrySet()) {
      boolean unreported = !reported.contains(each.getKey());
      if (unreported && hasEnded(each.getKey().backend(), backends, each.getValue())) {
        reported.add(each.getKey());
        crashed.add(each.getKey());
      }
    }
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
   * Removes rows that are due; to be called periodically.
   *
   * @param coordinator whether this node removes rows that other nodes have left behind
   */
  void tick(boolean coordinator) {
    removeDue();
    if (coordinator) {
      long now = time.monotonicMillis();
      firstReadAt.forEach(
          (attempt, at) -> {
            if (now - at >= ORPHAN_RETENTION_MILLIS) {
              removeAt.putIfAbsent(attempt, now);
            }
          });
    }
  }

  private void removeDue() {
    long now = time.monotonicMillis();
    for (Map.Entry<SuspectAttempt, Long> each : List.copyOf(removeAt.entrySet())) {
      if (now >= each.getValue()) {
        remove(each.getKey());
      }
    }
  }

  private void remove(SuspectAttempt attempt) {
    // Prevents a second removal while this one is in progress.
    removeAt.put(attempt, Long.MAX_VALUE);
    CompletableFuture<@Nullable Void> removed = table.removeAttempt(attempt);
    removed.whenCompleteAsync(
        (done, failure) -> {
          if (failure == null) {
            removeAt.remove(attempt);
            firstReadAt.remove(attempt);
          } else {
            removeAt.replace(attempt, time.monotonicMillis());
          }
        },
        eventLoop);
  }
}
