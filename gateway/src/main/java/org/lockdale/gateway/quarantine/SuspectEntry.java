package org.lockdale.gateway.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A suspect in a ledger, with what its node alone knows: when it learned of each crash. Not safe
 * for use by several threads.
 */
final class SuspectEntry {

  /** Time in milliseconds within which all nodes that are connected know of a crash. */
  private static final long KNOWN_MILLIS = 3_000;

  Suspect suspect;
  long lastCrashAtMillis;

  /** Crashes that this node learned of together, and may have happened at any time. */
  private final int firstCrashes;

  /** Monotonic times at which this node learned of the crashes, by key. */
  final Map<String, Long> learnedAt = new HashMap<>();

  /** Keys of crashes after which, as this node knows, their backends were alive. */
  final Set<String> outlived = new HashSet<>();

  SuspectEntry(Suspect suspect, long nowMillis) {
    this.suspect = suspect;
    this.lastCrashAtMillis = nowMillis;
    this.firstCrashes = suspect.countedCrashes();
  }

  /**
   * Returns how many crashes may have come more than {@link #KNOWN_MILLIS} after the third.
   *
   * @param beforeMillis monotonic time up to which crashes are counted
   */
  int lateCrashes(long beforeMillis) {
    List<Long> counted =
        learnedAt.entrySet().stream()
            .filter(learned -> isCrashed(learned.getKey()))
            .map(Map.Entry::getValue)
            .filter(at -> at < beforeMillis)
            .sorted()
            .toList();
    if (counted.size() <= Suspect.CRASHES_TO_QUARANTINE) {
      return 0;
    }
    long third = counted.get(Suspect.CRASHES_TO_QUARANTINE - 1);
    long late = counted.stream().filter(at -> at > third + KNOWN_MILLIS).count();
    return (int) late + Math.max(0, firstCrashes - Suspect.CRASHES_TO_QUARANTINE);
  }

  void recordLearned(Suspect received, long nowMillis) {
    received.crashes().keySet().forEach(backend -> learnedAt.putIfAbsent(backend, nowMillis));
  }

  boolean isCrashed(String key) {
    CrashInvolvement crash = suspect.crashes().get(key);
    return crash != null && !crash.cleared();
  }

  /** Returns whether a backend may have crashed since its latest crash was taken back. */
  boolean mayCrashAgain(String backend, long aliveAtMillis) {
    String key = CrashKeys.latest(backend, suspect.crashes());
    CrashInvolvement crash = suspect.crashes().get(key);
    return crash != null
        && crash.cleared()
        && (outlived.contains(key) || learnedAt.get(key) < aliveAtMillis);
  }
}
