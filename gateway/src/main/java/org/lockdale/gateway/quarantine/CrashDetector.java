package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Distinguishes crashed backends from broken connections. A lost attempt is kept until it is known
 * which of the two it was: the address refuses connections, the record is gone or replaced, or the
 * backend responds to an attempt that was sent later. A backend that terminated as planned has not
 * crashed. A state machine without I/O; not safe for use by several threads.
 */
final class CrashDetector {

  /**
   * How long losses and crashes of a backend are remembered. Records of crashed backends expire
   * after three heartbeats, 3.6 s, and the expiry may be read a second later; twice that time
   * leaves room for slow stores.
   */
  static final long RETENTION_MILLIS = 10_000;

  /**
   * A backend that was alive this long after an attempt was given up did not crash because of it.
   */
  static final long OUTLIVED_MILLIS = 1_000;

  /**
   * Limits the memory that a burst of disconnecting callers can use; the oldest attempts are
   * dropped.
   */
  private static final int MAX_GIVEN_UP = 64;

  /**
   * Limits the memory used, since each attempt keeps its request; further ones count against the
   * incarnation that they were meant for.
   */
  private static final int MAX_UNASSIGNED = 64;

  private record GivenUp(LostAttempt attempt, long atMillis) {}

  /** Attempts lost on a backend that may or may not have crashed. */
  private static final class PendingLosses {
    private final InetSocketAddress address;
    private final List<LostAttempt> lost = new ArrayList<>();
    private final Deque<GivenUp> givenUp = new ArrayDeque<>();
    private long latestLossMillis;

    PendingLosses(InetSocketAddress address) {
      this.address = address;
    }

    void add(LostAttempt attempt, long nowMillis) {
      latestLossMillis = nowMillis;
      if (!attempt.isGivenUp()) {
        lost.add(attempt);
        return;
      }
      givenUp.add(new GivenUp(attempt, nowMillis));
      if (givenUp.size() > MAX_GIVEN_UP) {
        givenUp.remove();
      }
    }

    /** Removes all attempts that were given up, and returns those given up at or after a moment. */
    List<LostAttempt> takeGivenUp(long sinceMillis) {
      List<LostAttempt> taken = new ArrayList<>();
      for (GivenUp each : givenUp) {
        if (each.atMillis() >= sinceMillis) {
          taken.add(each.attempt());
        }
      }
      givenUp.clear();
      return taken;
    }

    List<LostAttempt> allLost(long givenUpSinceMillis) {
      List<LostAttempt> all = new ArrayList<>(lost);
      all.addAll(takeGivenUp(givenUpSinceMillis));
      return all;
    }
  }

  private record DetectedCrash(CrashEvidence evidence, long atMillis) {}

  private record UnassignedAttempt(LostAttempt attempt, long atMillis) {}

  private final Map<String, PendingLosses> pendingByBackend = new HashMap<>();
  private final Map<String, DetectedCrash> detectedCrashes = new HashMap<>();

  /** Attempts that ran on incarnations whose records have not been read yet. */
  private final List<UnassignedAttempt> unassigned = new ArrayList<>();

  /** Monotonic times at which connections of backends first closed, by backend id. */
  private final Map<String, Long> closedAt = new HashMap<>();

  /**
   * Returns an attempt with the incarnation that it ran on. A server may restart under its id
   * before its new record is read, and run an attempt that was meant for its previous incarnation:
   * over a connection that was established since, or with a response that started after the
   * connections of the previous incarnation had closed. If a crash of the new incarnation were
   * attributed to the previous one, two crashes would count as one.
   *
   * @param wallMillis Unix time in milliseconds, comparable to the start times of incarnations
   */
  LostAttempt assignToIncarnation(
      LostAttempt attempt, BackendTable backends, long nowMillis, long wallMillis) {
    Long closed = closedAt.get(attempt.backend());
    if (attempt.isClosed()) {
      closedAt.putIfAbsent(attempt.backend(), nowMillis);
    }
    TrackedBackend present = backends.resolve(Incarnation.parse(attempt.backend()).server());
    if (present == null || present.backend().id().equals(attempt.backend())) {
      return attempt;
    }
    boolean startedLater = closed != null && nowMillis - attempt.responseMillis() > closed;
    boolean respondedThere = startedLater && attempt.responseMillis() != 0;
    long connectedAtWallMillis = wallMillis - (nowMillis - attempt.connectedAtMillis());
    return respondedThere || hasStartedBefore(present.backend(), connectedAtWallMillis)
        ? reassign(present.backend(), attempt)
        : attempt;
  }

  private static boolean hasStartedBefore(Backend next, long wallMillis) {
    return next.incarnation().startedAtMillis().orElse(Long.MAX_VALUE) < wallMillis;
  }

  private static LostAttempt reassign(Backend next, LostAttempt attempt) {
    return attempt.isGivenUp() ? attempt.givenUpOn(next.id()) : attempt.closedOn(next.id());
  }

  /**
   * Records a lost attempt.
   *
   * @param attempt the attempt
   * @param backends backends that have a record
   * @param nowMillis monotonic time
   * @return the crash of the backend if it is already known, else null
   */
  @Nullable BackendCrash recordLoss(LostAttempt attempt, BackendTable backends, long nowMillis) {
    String backend = attempt.backend();
    DetectedCrash known = detectedCrashes.get(backend);
    if (known != null && reachedUnknownIncarnation(attempt, known, backends)) {
      unassigned.add(new UnassignedAttempt(attempt, nowMillis));
      return null;
    }
    if (known != null) {
      return new BackendCrash(backend, known.evidence(), List.of(attempt));
    }
    if (isReplaced(backend, backends)) {
      return confirmCrash(backend, List.of(attempt), CrashEvidence.REPLACED, nowMillis);
    }
    TrackedBackend tracked = backends.find(backend);
    if (tracked == null && attempt.isClosed() && !backends.hasLeft(backend)) {
      // The record may be back soon, so this decides nothing about later attempts.
      return new BackendCrash(backend, CrashEvidence.RECORD_GONE, List.of(attempt));
    }
    if (tracked == null || tracked.isDraining()) {
      return null;
    }
    PendingLosses losses =
        pendingByBackend.computeIfAbsent(backend, id -> new PendingLosses(attempt.address()));
    losses.add(attempt, nowMillis);
    return null;
  }

  /**
   * Returns the attempts that were given up before the connections of their backend closed and that
   * it is not known to have outlived, and counts them as lost with those connections.
   */
  List<LostAttempt> takeGivenUp(String backend, BackendTable backends, long nowMillis) {
    PendingLosses losses = pendingByBackend.get(backend);
    if (losses == null) {
      return List.of();
    }
    List<LostAttempt> taken = losses.takeGivenUp(givenUpWindowStart(backend, backends, nowMillis));
    losses.lost.addAll(taken);
    return taken;
  }

  /**
   * Returns the monotonic time since which an attempt must have been given up to have possibly been
   * running when the backend crashed, if it crashed just now.
   */
  private static long givenUpWindowStart(String backend, BackendTable backends, long nowMillis) {
    TrackedBackend tracked = backends.find(backend);
    long outlived = tracked == null ? 0 : tracked.lastKnownAliveMillis() - OUTLIVED_MILLIS;
    return Math.max(nowMillis - RETENTION_MILLIS, outlived);
  }

  /** Returns whether another incarnation of the server has a record or responds at its address. */
  private static boolean isReplaced(String backend, BackendTable backends) {
    TrackedBackend tracked = backends.find(backend);
    return tracked == null
        ? backends.resolve(Incarnation.parse(backend).server()) != null
        : tracked.hasEnded();
  }

  /**
   * Returns whether an attempt connected after its backend had crashed, so that it reached an
   * incarnation without a known record. The time at which the connections closed is used where it
   * is known, since it precedes the detection of the crash.
   */
  private boolean reachedUnknownIncarnation(
      LostAttempt attempt, DetectedCrash known, BackendTable backends) {
    long crashedAt = closedAt.getOrDefault(attempt.backend(), known.atMillis());
    return attempt.connectedAtMillis() > crashedAt
        && !hasLaterIncarnation(attempt.backend(), backends)
        && unassigned.size() < MAX_UNASSIGNED;
  }

  /**
   * Removes and returns the attempts that can now be assigned to an incarnation: the record of the
   * one that they reached has been read, or none has appeared for {@link #RETENTION_MILLIS}, so
   * that they count against the one they were meant for, unless they have counted against the next
   * one.
   */
  List<LostAttempt> takeAssignable(BackendTable backends, long nowMillis) {
    List<LostAttempt> assignable = new ArrayList<>();
    for (Iterator<UnassignedAttempt> each = unassigned.iterator(); each.hasNext(); ) {
      UnassignedAttempt waiting = each.next();
      LostAttempt attempt = waiting.attempt();
      if (hasLaterIncarnation(attempt.backend(), backends)) {
        each.remove();
        assignable.add(attempt);
      } else if (nowMillis - waiting.atMillis() > RETENTION_MILLIS) {
        each.remove();
        if (!attempt.showsCrashOfNextIncarnation()) {
          assignable.add(attempt.onIntendedIncarnation());
        }
      }
    }
    return assignable;
  }

  private static boolean hasLaterIncarnation(String backend, BackendTable backends) {
    Incarnation intended = Incarnation.parse(backend);
    TrackedBackend present = backends.resolve(intended.server());
    return present != null && intended.isBefore(present.backend().incarnation());
  }

  /**
   * Returns whether it is unknown if any backend has crashed, or which incarnation any attempt ran
   * on.
   */
  boolean hasUnresolved() {
    return !pendingByBackend.isEmpty() || !unassigned.isEmpty();
  }

  /** Returns whether the record of the incarnation that an attempt ran on has not been read yet. */
  boolean isUnassigned(LostAttempt attempt) {
    return unassigned.stream().anyMatch(each -> each.attempt() == attempt);
  }

  /** Returns whether it is still unknown if a backend with lost attempts has crashed. */
  boolean isUnresolved(String backend) {
    return pendingByBackend.containsKey(backend);
  }

  /**
   * Records that nothing serves connections at the address of a backend.
   *
   * @param evidence what shows it
   * @return the crash of the backend, or null if no lost attempt waits for it
   */
  @Nullable BackendCrash recordUnreachable(
      String backend, CrashEvidence evidence, BackendTable backends, long nowMillis) {
    PendingLosses losses = pendingByBackend.remove(backend);
    if (losses == null) {
      return null;
    }
    long since = givenUpWindowStart(backend, backends, nowMillis);
    return confirmCrash(backend, losses.allLost(since), evidence, nowMillis);
  }

  private BackendCrash confirmCrash(
      String backend, List<LostAttempt> lost, CrashEvidence evidence, long nowMillis) {
    detectedCrashes.put(backend, new DetectedCrash(evidence, nowMillis));
    return new BackendCrash(backend, evidence, lost);
  }

  /**
   * Checks the unresolved losses against the current records and the responses received since.
   *
   * @return backends that have crashed
   */
  List<BackendCrash> checkRecords(BackendTable backends, long nowMillis) {
    List<BackendCrash> crashes = new ArrayList<>();
    for (Iterator<Map.Entry<String, PendingLosses>> each = pendingByBackend.entrySet().iterator();
        each.hasNext(); ) {
      Map.Entry<String, PendingLosses> entry = each.next();
      String backend = entry.getKey();
      PendingLosses losses = entry.getValue();
      TrackedBackend tracked = backends.find(backend);
      if (tracked == null || tracked.hasEnded()) {
        each.remove();
        boolean replaced =
            isReplaced(backend, backends)
                || backends.all().stream()
                    .anyMatch(other -> other.backend().address().equals(losses.address));
        CrashEvidence evidence = replaced ? CrashEvidence.REPLACED : CrashEvidence.RECORD_GONE;
        List<LostAttempt> lost = losses.allLost(nowMillis - RETENTION_MILLIS);
        if (!lost.isEmpty()) {
          crashes.add(confirmCrash(backend, lost, evidence, nowMillis));
        }
      } else if (isResolved(tracked, losses, nowMillis)) {
        each.remove();
      }
    }
    detectedCrashes.values().removeIf(crash -> nowMillis - crash.atMillis() > RETENTION_MILLIS);
    closedAt.values().removeIf(at -> nowMillis - at > RETENTION_MILLIS);
    return crashes;
  }

  /**
   * Returns whether the backend is alive, is draining, or has not been found to have crashed in
   * time.
   */
  private static boolean isResolved(TrackedBackend tracked, PendingLosses losses, long nowMillis) {
    return tracked.lastKnownAliveMillis() > losses.latestLossMillis
        || tracked.isDraining()
        || nowMillis - losses.latestLossMillis > RETENTION_MILLIS;
  }
}
