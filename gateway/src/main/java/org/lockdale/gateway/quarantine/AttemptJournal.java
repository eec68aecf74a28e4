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
 * Keeps on record to which back ends suspected requests are being sent. A node that is killed
 * before it sees what became of an attempt leaves the row behind; once that life of the back end is
 * known to be over, the attempt counts as one that it ended under. Runs on one event loop.
 */
final class AttemptJournal {

  /** Attempts of this node that are kept on record at once; further ones are not. */
  private static final int MAX_OPEN = 32;

  /** An attempt that was lost may have run when its back end ended; that is known by then. */
  private static final long DOUBT_MILLIS = 10_000;

  /** A row whose node has gone is of no use any more then. */
  private static final long KEEP_MILLIS = 30_000;

  /** A life without a record, and without a next one, is over if none is read for so long. */
  private static final long ABSENT_MILLIS = 5_000;

  private final SuspectTable table;
  private final Executor eventLoop;
  private final Time time;

  /** Number of attempts under way here. */
  private final Map<SuspectAttempt, Integer> open = new HashMap<>();

  /** When rows of attempts that have been concluded here are to be removed. */
  private final Map<SuspectAttempt, Long> removeAt = new HashMap<>();

  /** When rows of other nodes, or of this one before it started, were first read. */
  private final Map<SuspectAttempt, Long> readAt = new HashMap<>();

  private final Set<SuspectAttempt> counted = new HashSet<>();

  AttemptJournal(SuspectTable table, Executor eventLoop, Time time) {
    this.table = table;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /** Notes that an attempt is about to be sent. */
  void begin(SuspectAttempt attempt) {
    if (open.size() >= MAX_OPEN && !open.containsKey(attempt)) {
      return;
    }
    removeAt.remove(attempt);
    if (open.merge(attempt, 1, Integer::sum) == 1) {
      table.recordAttempt(attempt);
    }
  }

  /**
   * Notes that an attempt has been concluded.
   *
   * @param doubtful whether its back end may have ended of it
   */
  void conclude(SuspectAttempt attempt, boolean doubtful) {
    if (!open.containsKey(attempt)) {
      return;
    }
    if (open.merge(attempt, -1, Integer::sum) == 0) {
      open.remove(attempt);
      removeAt.put(attempt, time.monotonicMillis() + (doubtful ? DOUBT_MILLIS : 0));
      removeDue();
    }
  }

  /** Takes in all rows. */
  void update(Collection<SuspectAttempt> rows) {
    Set<SuspectAttempt> present = new HashSet<>(rows);
    readAt.keySet().retainAll(present);
    counted.retainAll(present);
    long now = time.monotonicMillis();
    for (SuspectAttempt row : rows) {
      if (!open.containsKey(row) && !removeAt.containsKey(row)) {
        readAt.putIfAbsent(row, now);
      }
    }
  }

  /**
   * Returns attempts whose nodes have not concluded them and whose back ends have ended, each once;
   * to be called from time to time.
   *
   * @param backends back ends on record
   */
  List<SuspectAttempt> takeCrashed(BackendTable backends) {
    List<SuspectAttempt> ended = new ArrayList<>();
    for (Map.Entry<SuspectAttempt, Long> each : readAt.entrySet()) {
      boolean news = !counted.contains(each.getKey());
      if (news && isOver(each.getKey().backend(), backends, each.getValue())) {
        counted.add(each.getKey());
        ended.add(each.getKey());
      }
    }
    return ended;
  }

  private boolean isOver(String life, BackendTable backends, long readAtMillis) {
    TrackedBackend tracked = backends.find(life);
    if (tracked != null) {
      return tracked.isOver();
    }
    Incarnation incarnation = Incarnation.parse(life);
    TrackedBackend present = backends.named(incarnation.server());
    if (present != null) {
      return incarnation.isBefore(present.backend().incarnation());
    }
    boolean known = !backends.all().isEmpty();
    return known && time.monotonicMillis() - readAtMillis >= ABSENT_MILLIS;
  }

  /**
   * Removes rows that are due; to be called from time to time.
   *
   * @param coordinator whether this node removes what other nodes have left behind
   */
  void tick(boolean coordinator) {
    removeDue();
    if (coordinator) {
      long now = time.monotonicMillis();
      readAt.forEach(
          (attempt, at) -> {
            if (now - at >= KEEP_MILLIS) {
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
    // Not asked for again while this call is under way.
    removeAt.put(attempt, Long.MAX_VALUE);
    CompletableFuture<@Nullable Void> removed = table.removeAttempt(attempt);
    removed.whenCompleteAsync(
        (done, failure) -> {
          if (failure == null) {
            removeAt.remove(attempt);
            readAt.remove(attempt);
          } else {
            removeAt.replace(attempt, time.monotonicMillis());
          }
        },
        eventLoop);
  }
}
