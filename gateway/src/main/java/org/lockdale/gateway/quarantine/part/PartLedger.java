package org.lockdale.gateway.quarantine.part;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Decides which prompt parts are held back because backends crash when they begin to answer
 * requests with them. A part that causes crashes is in a request at each of them, and no request
 * with it is ever answered; parts that it shares its prompts or backends with are answered
 * elsewhere. So a part is held back from its third crash on, counted since a request with it was
 * last answered, and crashes that have another cause don't count: a part that is held back, or a
 * quarantined request of which it is no part. Of several parts the one with the most crashes is
 * held back first, as the cause is in a request at each of them, and of these the one that stands
 * deepest in its prompts: fewer prompts share it, so it costs least if it is not the cause. The
 * others follow if crashes go on without it, and if the first one proves to be sound.
 *
 * <p>Crashes at the same moment, as those of a failure domain, have a cause of their own, and
 * crashes under the same request speak against that request, so no more than two of either count.
 *
 * <p>It addresses requests unlike each other that share a part which crashes servers. A request
 * that is repeated as it is, with or without such a part, is quarantined by its contents as well. A
 * state machine without I/O; not safe for use by several threads.
 */
final class PartLedger {

  /** Number of crashes from which a part is held back. */
  static final int REQUIRED_CRASHES = 3;

  /**
   * Number of crashes from which a part is held back if any one of them has no other cause: the
   * part that explains the others may be held back wrongly.
   */
  private static final int MAX_CRASHES = 5;

  /** Time after its last crash after which a part that is not held back is forgotten. */
  private static final long RETENTION_MILLIS = 120_000;

  /**
   * Times after the last crash at which one request is sent as a trial, in milliseconds. The first
   * one is early, since a part that is wrongly held back costs more than a crash.
   */
  private static final long[] TRIAL_DELAYS_MILLIS = {5_000, 20_000, 600_000};

  /** Time after which a permit that no request has used is replaced. */
  private static final long PERMIT_MILLIS = 30_000;

  /** Limits the memory used: a crash of a third of a large fleet leaves some 400 suspects. */
  private static final int MAX_SUSPECTS = 1_024;

  private final long holdMillis;
  private final Map<PromptPartKey, TrackedPart> entries = new LinkedHashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param holdMillis time in milliseconds after the last crash for which a part is held back
   */
  PartLedger(long holdMillis) {
    this.holdMillis = holdMillis;
  }

  /**
   * Records that a backend crashed that had just begun to run a request, or was about to.
   *
   * @param parts the parts of its prompt that other prompts may share, in order
   * @param caller hash of its caller
   * @param request hash of its contents
   * @param key key of the crash
   * @return parts for which this is new
   */
  List<PartSuspect> recordCrash(
      List<PromptPartKey> parts, int caller, int request, String key, long nowMillis) {
    List<PartSuspect> changed = new ArrayList<>();
    for (int depth = 0; depth < parts.size(); depth++) {
      Map<String, PartCrash> crash = Map.of(key, new PartCrash(caller, request, false));
      PartSuspect seen = new PartSuspect(parts.get(depth), depth, crash, 0, 0);
      if (merge(seen, nowMillis)) {
        changed.add(entries.get(seen.part()).suspect());
      }
    }
    return changed;
  }

  /**
   * Merges information about a part from this node or another one.
   *
   * @return whether any of it is new
   */
  boolean merge(PartSuspect received, long nowMillis) {
    TrackedPart entry = entries.get(received.part());
    if (entry == null) {
      evictIfFull();
      entries.put(received.part(), new TrackedPart(received, nowMillis));
      return true;
    }
    return entry.merge(received, nowMillis);
  }

  /**
   * Makes room if the ledger is full; parts that are held back and those with many crashes stay.
   */
  private void evictIfFull() {
    if (entries.size() >= MAX_SUSPECTS) {
      entries.values().stream()
          .map(TrackedPart::suspect)
          .min(Comparator.comparing(PartSuspect::isHeld).thenComparing(PartSuspect::weight))
          .ifPresent(lightest -> entries.remove(lightest.part()));
    }
  }

  /**
   * Records that a request was answered, which shows that none of its parts crashes backends.
   *
   * @return parts against which crashes had counted
   */
  List<PartSuspect> recordAnswer(Collection<PromptPartKey> parts, long nowMillis) {
    for (PromptPartKey part : parts) {
      TrackedPart entry = entries.get(part);
      if (entry != null) {
        entry.answeredAtMillis = nowMillis;
      }
    }
    return clear(parts);
  }

  /**
   * Clears all crashes of some parts, which are not held back any longer.
   *
   * @return parts against which crashes had counted
   */
  List<PartSuspect> clear(Collection<PromptPartKey> parts) {
    List<PartSuspect> cleared = new ArrayList<>();
    for (PromptPartKey part : parts) {
      TrackedPart entry = entries.get(part);
      if (entry != null && entry.isSuspicious()) {
        cleared.add(entry.suspect());
        entry.replace(entry.suspect().clear());
      }
    }
    return cleared;
  }

  /**
   * Retracts one crash of a backend.
   *
   * @return parts against which it had counted
   */
  List<PartSuspect> retract(String key) {
    return retract(key, Long.MAX_VALUE);
  }

  /**
   * Retracts the crash of a backend that is known to have been alive at a moment, if this node
   * learned of it before.
   *
   * @return parts against which it had counted
   */
  List<PartSuspect> retract(String key, long aliveAtMillis) {
    List<PartSuspect> changed = new ArrayList<>();
    for (TrackedPart entry : entries.values()) {
      if (entry.suspect().isCounted(key) && entry.learnedAtMillis(key) < aliveAtMillis) {
        PartSuspect lighter = entry.suspect().clear(key);
        int left = lighter.weight();
        entry.replace(left < REQUIRED_CRASHES ? lighter.release(left) : lighter);
        changed.add(entry.suspect());
      }
    }
    return changed;
  }

  /** Returns the keys of the crashes that count against any part. */
  Set<String> countedCrashes() {
    Set<String> keys = new TreeSet<>();
    for (TrackedPart entry : entries.values()) {
      entry
          .suspect()
          .crashes()
          .forEach(
              (key, crash) -> {
                if (!crash.cleared()) {
                  keys.add(key);
                }
              });
    }
    return keys;
  }

  /** Returns whether this node has learned of a crash since a moment. */
  boolean hasLearnedOf(String key, long sinceMillis) {
    return entries.values().stream().anyMatch(entry -> entry.learnedAtMillis(key) >= sinceMillis);
  }

  /**
   * Holds back the parts that are likely to be the cause of crashes.
   *
   * @param settleMillis age from which on crashes are considered, so that the nodes that observed
   *     them have notified the others
   * @param quarantined hashes of the contents of the quarantined requests that crashed backends, by
   *     key of the crash
   * @return parts that were not held back before
   */
  List<PartSuspect> decide(
      long nowMillis, long settleMillis, Map<String, Set<Integer>> quarantined) {
    ExplainedCrashes explained = new ExplainedCrashes(quarantined);
    entries.values().stream()
        .map(TrackedPart::suspect)
        .filter(PartSuspect::isHeld)
        .forEach(explained::add);
    List<PartSuspect> decided = new ArrayList<>();
    long learnedByMillis = nowMillis - settleMillis;
    for (TrackedPart cause = nextCause(explained, learnedByMillis);
        cause != null;
        cause = nextCause(explained, learnedByMillis)) {
      cause.replace(cause.suspect().hold());
      explained.add(cause.suspect());
      decided.add(cause.suspect());
    }
    return decided;
  }

  private @Nullable TrackedPart nextCause(ExplainedCrashes explained, long learnedByMillis) {
    TrackedPart likeliest = null;
    int crashesOfLikeliest = 0;
    for (TrackedPart entry : entries.values()) {
      int crashes = entry.unexplainedCrashes(explained, learnedByMillis);
      if (isCause(entry, crashes, learnedByMillis)
          && (likeliest == null || isLikelier(entry, crashes, likeliest, crashesOfLikeliest))) {
        likeliest = entry;
        crashesOfLikeliest = crashes;
      }
    }
    return likeliest;
  }

  private static boolean isCause(TrackedPart entry, int unexplained, long learnedByMillis) {
    ExplainedCrashes none = new ExplainedCrashes(Map.of());
    return unexplained >= REQUIRED_CRASHES
        || unexplained > 0 && entry.unexplainedCrashes(none, learnedByMillis) >= MAX_CRASHES;
  }

  private static boolean isLikelier(
      TrackedPart entry, int crashes, TrackedPart than, int crashesOfThat) {
    PartSuspect suspect = entry.suspect();
    PartSuspect other = than.suspect();
    if (crashes != crashesOfThat) {
      return crashes > crashesOfThat;
    }
    return suspect.depth() != other.depth()
        ? suspect.depth() > other.depth()
        : suspect.part().id().compareTo(other.part().id()) < 0;
  }

  /**
   * Offers or withdraws the permits of trials.
   *
   * @param mayOffer whether this node sends the trials of all nodes
   * @return whether any permit has changed
   */
  boolean offerTrials(boolean mayOffer, long nowMillis) {
    boolean changed = false;
    for (TrackedPart entry : entries.values()) {
      boolean due = mayOffer && entry.suspect().isHeld() && nowMillis >= nextTrialAtMillis(entry);
      boolean outdated = entry.permit != null && nowMillis - entry.permitAtMillis > PERMIT_MILLIS;
      if (due && (entry.permit == null || outdated)) {
        entry.permit = new TrialPermit();
        entry.permitAtMillis = nowMillis;
        changed = true;
      } else if (!due && entry.permit != null) {
        entry.permit = null;
        changed = true;
      }
    }
    return changed;
  }

  private long nextTrialAtMillis(TrackedPart entry) {
    int trials = entry.suspect().trials();
    long delay = trials < TRIAL_DELAYS_MILLIS.length ? TRIAL_DELAYS_MILLIS[trials] : holdMillis;
    return entry.lastCrashAtMillis + Math.min(delay, holdMillis);
  }

  /** Records that a request with a part that is held back is being sent as a trial. */
  void recordTrial(PromptPartKey part) {
    TrackedPart entry = entries.get(part);
    if (entry != null) {
      entry.replace(entry.suspect().tried());
      entry.permit = null;
    }
  }

  /**
   * Processes expired parts: one whose time is over is released, and is held back again at its next
   * crash; others are removed.
   *
   * @return parts that are released
   */
  List<PartSuspect> expire(long nowMillis) {
    List<PartSuspect> released = new ArrayList<>();
    for (TrackedPart entry : List.copyOf(entries.values())) {
      long age = nowMillis - entry.lastCrashAtMillis;
      if (entry.suspect().isHeld() && age > holdMillis) {
        entry.replace(entry.suspect().release(REQUIRED_CRASHES - 1));
        entry.lastCrashAtMillis = nowMillis;
        released.add(entry.suspect());
      } else if (!entry.suspect().isHeld() && age > RETENTION_MILLIS) {
        entries.remove(entry.suspect().part());
      }
    }
    return released;
  }

  /** Returns the suspect of a part; empty if it is unknown. */
  Optional<PartSuspect> find(PromptPartKey part) {
    return Optional.ofNullable(entries.get(part)).map(TrackedPart::suspect);
  }

  /** Returns the number of parts against which anything counts. */
  int suspiciousCount() {
    int count = 0;
    for (TrackedPart entry : entries.values()) {
      count += entry.isSuspicious() ? 1 : 0;
    }
    return count;
  }

  /** Returns all suspects. */
  List<PartSuspect> all() {
    return entries.values().stream().map(TrackedPart::suspect).toList();
  }

  /** Returns the state for the request path. */
  SuspectParts snapshot() {
    Set<PromptPartKey> suspected = new HashSet<>();
    Set<PromptPartKey> significant = new HashSet<>();
    List<HeldPart> held = new ArrayList<>();
    for (TrackedPart entry : entries.values()) {
      if (entry.suspect().isHeld()) {
        held.add(HeldPart.of(entry.suspect(), nextTrialAtMillis(entry), entry.permit));
      }
      if (entry.isSuspicious()) {
        suspected.add(entry.suspect().part());
      }
      if (entry.suspect().isSignificant()) {
        significant.add(entry.suspect().part());
      }
    }
    return new SuspectParts(suspected, significant, held);
  }
}
