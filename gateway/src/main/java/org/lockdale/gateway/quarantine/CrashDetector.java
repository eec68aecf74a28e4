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
 * Tells back ends that ended from connections that broke. An attempt that breaks off is kept until
 * it is known which it was: the address refuses connections, the record is gone or replaced, or the
 * back end answers an attempt that was sent later. One that left as planned has not ended in this
 * sense. A state machine without I/O; not safe for use by several threads.
 */
final class CrashDetector {

  /**
   * Records of back ends that ended lapse after three heartbeats, 3.6 s, and may be read a second
   * later; twice that leaves room for slow stores.
   */
  static final long RETENTION_MILLIS = 10_000;

  /**
   * An attempt that was given up before its back end's connections closed may have run at that
   * moment: a loaded server begins it half a second after its caller has left, and a loaded node
   * reads and handles a closed connection more than a second late. Records tell later still.
   */
  private static final long GIVEN_UP_MILLIS = 3_000;

  private static final long GIVEN_UP_BY_RECORD_MILLIS = RETENTION_MILLIS;

  /** A back end that lived for so long after an attempt was given up has not ended of it. */
  private static final long OUTLIVED_MILLIS = 1_000;

  /** Callers that leave in a burst must not fill the memory; the oldest are left out. */
  private static final int MAX_GIVEN_UP = 64;

  /** Each keeps its request; further ones count at the life that was meant. */
  private static final int MAX_UNPLACED = 64;

  private record GivenUp(LostAttempt attempt, long atMillis) {}

  private static final class Open {
    private final InetSocketAddress address;
    private final List<LostAttempt> lost = new ArrayList<>();
    private final Deque<GivenUp> givenUp = new ArrayDeque<>();
    private long latestMillis;

    Open(InetSocketAddress address) {
      this.address = address;
    }

    void add(LostAttempt attempt, long nowMillis) {
      latestMillis = nowMillis;
      if (!attempt.isGivenUp()) {
        lost.add(attempt);
        return;
      }
      givenUp.add(new GivenUp(attempt, nowMillis));
      if (givenUp.size() > MAX_GIVEN_UP) {
        givenUp.remove();
      }
    }

    /** Returns and forgets the attempts given up since a moment, and forgets those before it. */
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

  private record Ended(CrashEvidence evidence, long atMillis) {}

  private record Unplaced(LostAttempt attempt, long atMillis) {}

  private final Map<String, Open> open = new HashMap<>();
  private final Map<String, Ended> ended = new HashMap<>();

  /** Attempts that ran at lives whose records have not been read yet. */
  private final List<Unplaced> unplaced = new ArrayList<>();

  /** When the connections of back ends first closed, by their ids. */
  private final Map<String, Long> closedAt = new HashMap<>();

  /**
   * Returns an attempt with the life that it ran at. A server may start again under its id before
   * its new record is read, and take what was meant for the life before: over a connection that
   * came up since, or with an answer that began after that life's connections had closed. Were its
   * end taken for the same one, two ends would count as one.
   *
   * @param wallMillis time of day, as the starts of lives are told
   */
  LostAttempt assignToIncarnation(
      LostAttempt attempt, BackendTable backends, long nowMillis, long wallMillis) {
    Long closed = closedAt.get(attempt.backend());
    if (attempt.isClosed()) {
      closedAt.putIfAbsent(attempt.backend(), nowMillis);
    }
    TrackedBackend present = backends.named(Incarnation.parse(attempt.backend()).server());
    if (present == null || present.backend().id().equals(attempt.backend())) {
      return attempt;
    }
    boolean beganLater = closed != null && nowMillis - attempt.answerMillis() > closed;
    boolean answeredThere = beganLater && attempt.answerMillis() != 0;
    long connectedAtWallMillis = wallMillis - (nowMillis - attempt.connectedAtMillis());
    return answeredThere || isStartedBy(present.backend(), connectedAtWallMillis)
        ? lostAt(present.backend(), attempt)
        : attempt;
  }

  private static boolean isStartedBy(Backend life, long wallMillis) {
    return life.incarnation().startedAtMillis().orElse(Long.MAX_VALUE) < wallMillis;
  }

  private static LostAttempt lostAt(Backend life, LostAttempt attempt) {
    return attempt.isGivenUp() ? attempt.givenUpOn(life.id()) : attempt.closedOn(life.id());
  }

  /**
   * Takes in an attempt that broke off.
   *
   * @param attempt the attempt
   * @param backends back ends on record
   * @param nowMillis monotonic time
   * @return the end of the back end where it is known already, else null
   */
  @Nullable BackendCrash recordLoss(LostAttempt attempt, BackendTable backends, long nowMillis) {
    String backend = attempt.backend();
    Ended known = ended.get(backend);
    if (known != null && reachedUnknownLife(attempt, known, backends)) {
      unplaced.add(new Unplaced(attempt, nowMillis));
      return null;
    }
    if (known != null) {
      return new BackendCrash(backend, known.evidence(), List.of(attempt));
    }
    if (isReplaced(backend, backends)) {
      ended.put(backend, new Ended(CrashEvidence.REPLACED, nowMillis));
      return new BackendCrash(backend, CrashEvidence.REPLACED, List.of(attempt));
    }
    TrackedBackend tracked = backends.find(backend);
    if (tracked == null || tracked.isLeaving()) {
      return null;
    }
    Open broken = open.computeIfAbsent(backend, id -> new Open(attempt.address()));
    broken.add(attempt, nowMillis);
    return null;
  }

  /**
   * Returns the attempts at a back end that were given up a moment ago, as its connections close:
   * they count as lost with those.
   */
  List<LostAttempt> takeRecentlyGivenUp(String backend, BackendTable backends, long nowMillis) {
    Open broken = open.get(backend);
    if (broken == null) {
      return List.of();
    }
    List<LostAttempt> taken = broken.takeGivenUp(doubtfulSince(backend, backends, nowMillis));
    broken.lost.addAll(taken);
    return taken;
  }

  /** Returns since when attempts were given up that may have run as a back end ended just now. */
  private static long doubtfulSince(String backend, BackendTable backends, long nowMillis) {
    TrackedBackend tracked = backends.find(backend);
    long outlived = tracked == null ? 0 : tracked.aliveAtMillis() - OUTLIVED_MILLIS;
    return Math.max(nowMillis - GIVEN_UP_MILLIS, outlived);
  }

  /** Returns whether another life of the server is on record, or answers at its address. */
  private static boolean isReplaced(String backend, BackendTable backends) {
    TrackedBackend tracked = backends.find(backend);
    return tracked == null
        ? backends.named(Incarnation.parse(backend).server()) != null
        : tracked.isOver();
  }

  /** The connections of an ended life closed before its end was shown. */
  private boolean reachedUnknownLife(LostAttempt attempt, Ended known, BackendTable backends) {
    long endedAt = closedAt.getOrDefault(attempt.backend(), known.atMillis());
    return attempt.connectedAtMillis() > endedAt
        && !hasNextLife(attempt.backend(), backends)
        && unplaced.size() < MAX_UNPLACED;
  }

  /**
   * Returns the attempts that waited for the record of the life that they reached: it has been
   * read, or none is there after a while.
   */
  List<LostAttempt> takeAssignable(BackendTable backends, long nowMillis) {
    List<LostAttempt> placed = new ArrayList<>();
    for (Iterator<Unplaced> each = unplaced.iterator(); each.hasNext(); ) {
      Unplaced waiting = each.next();
      LostAttempt attempt = waiting.attempt();
      if (hasNextLife(attempt.backend(), backends)) {
        each.remove();
        placed.add(attempt);
      } else if (nowMillis - waiting.atMillis() > RETENTION_MILLIS) {
        each.remove();
        placed.add(attempt.onIntendedIncarnation());
      }
    }
    return placed;
  }

  private static boolean hasNextLife(String backend, BackendTable backends) {
    Incarnation meant = Incarnation.parse(backend);
    TrackedBackend present = backends.named(meant.server());
    return present != null && meant.isBefore(present.backend().incarnation());
  }

  /** Returns whether it is not known what became of any back end, or which one it was. */
  boolean hasUnresolved() {
    return !open.isEmpty() || !unplaced.isEmpty();
  }

  /** Returns whether the life at which an attempt ran is not on record yet. */
  boolean isUnassigned(LostAttempt attempt) {
    return unplaced.stream().anyMatch(each -> each.attempt() == attempt);
  }

  /** Returns whether it is not known what became of a back end. */
  boolean isUnresolved(String backend) {
    return open.containsKey(backend);
  }

  /**
   * Takes in what the address of a back end does with new connections.
   *
   * @param evidence what shows that nothing listens there
   */
  @Nullable BackendCrash recordUnreachable(
      String backend, CrashEvidence evidence, BackendTable backends, long nowMillis) {
    Open broken = open.remove(backend);
    if (broken == null) {
      return null;
    }
    long since = doubtfulSince(backend, backends, nowMillis);
    return end(backend, broken.allLost(since), evidence, nowMillis);
  }

  private BackendCrash end(
      String backend, List<LostAttempt> lost, CrashEvidence evidence, long nowMillis) {
    ended.put(backend, new Ended(evidence, nowMillis));
    return new BackendCrash(backend, evidence, lost);
  }

  /**
   * Compares with what the records say by now and what was heard since.
   *
   * @return back ends that have ended
   */
  List<BackendCrash> checkRecords(BackendTable backends, long nowMillis) {
    List<BackendCrash> ends = new ArrayList<>();
    for (Iterator<Map.Entry<String, Open>> each = open.entrySet().iterator(); each.hasNext(); ) {
      Map.Entry<String, Open> entry = each.next();
      String backend = entry.getKey();
      Open broken = entry.getValue();
      TrackedBackend tracked = backends.find(backend);
      if (tracked == null || tracked.isOver()) {
        each.remove();
        boolean replaced =
            isReplaced(backend, backends)
                || backends.all().stream()
                    .anyMatch(other -> other.backend().address().equals(broken.address));
        CrashEvidence evidence = replaced ? CrashEvidence.REPLACED : CrashEvidence.RECORD_GONE;
        List<LostAttempt> lost = broken.allLost(nowMillis - GIVEN_UP_BY_RECORD_MILLIS);
        if (!lost.isEmpty()) {
          ends.add(end(backend, lost, evidence, nowMillis));
        }
      } else if (isSettled(tracked, broken, nowMillis)) {
        each.remove();
      }
    }
    ended.values().removeIf(end -> nowMillis - end.atMillis() > RETENTION_MILLIS);
    closedAt.values().removeIf(at -> nowMillis - at > RETENTION_MILLIS);
    return ends;
  }

  /** It lives, leaves as planned, or nothing will be known any more. */
  private static boolean isSettled(TrackedBackend tracked, Open broken, long nowMillis) {
    return tracked.aliveAtMillis() > broken.latestMillis
        || tracked.isLeaving()
        || nowMillis - broken.latestMillis > RETENTION_MILLIS;
  }
}
