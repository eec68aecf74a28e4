package org.lockdale.gateway.quarantine.part;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** A suspected part with what only this node knows of it. */
final class TrackedPart {

  /** Maximum time in milliseconds between crashes of the same moment. */
  private static final long SAME_MOMENT_MILLIS = 100;

  /** Maximum number of crashes of the same moment that count. */
  private static final int MAX_COUNTED_OF_MOMENT = 2;

  /**
   * Maximum number of crashes under one request, whoever repeats it, that count: more of them speak
   * against the request, and not against each part of it.
   */
  private static final int MAX_COUNTED_OF_REQUEST = 2;

  /**
   * Time in milliseconds for which an answer to a request shows that a part of it crashes no
   * backend.
   */
  private static final long ANSWER_VALID_MILLIS = 3_000;

  /**
   * Maximum number of crashes that are kept, so that a few parts fit into a datagram. The oldest
   * ones that were cleared are dropped first.
   */
  private static final int MAX_CRASHES = 12;

  /** Time after which a crash that was dropped is taken for a new one. */
  private static final long DROPPED_MILLIS = 120_000;

  private PartSuspect suspect;

  /** Number of crashes that count against the part. */
  private int weight;

  /** Monotonic time at which this node learned of the latest crash. */
  long lastCrashAtMillis;

  /** Monotonic time at which this node learned of the latest answer. */
  long answeredAtMillis = Long.MIN_VALUE / 2;

  /** Lets one request be sent as a trial, or null. */
  @Nullable TrialPermit permit;

  /** Monotonic time at which the permit was offered. */
  long permitAtMillis;

  /** Monotonic times at which this node learned of the crashes, by key. */
  private final Map<String, Long> learnedAt = new HashMap<>();

  TrackedPart(PartSuspect suspect, long nowMillis) {
    this.suspect = suspect;
    this.weight = suspect.weight();
    this.lastCrashAtMillis = nowMillis;
    recordLearned(suspect, nowMillis);
  }

  PartSuspect suspect() {
    return suspect;
  }

  /** Replaces the state that all nodes share. */
  void replace(PartSuspect changed) {
    suspect = changed;
    weight = changed.weight();
  }

  /** Returns whether anything counts against the part. */
  boolean isSuspicious() {
    return weight > 0 || suspect.isHeld();
  }

  private boolean wasDropped(String key) {
    return learnedAt.containsKey(key) && !suspect.crashes().containsKey(key);
  }

  private void recordLearned(PartSuspect received, long nowMillis) {
    for (String key : received.crashes().keySet()) {
      if (learnedAt.putIfAbsent(key, nowMillis) == null) {
        lastCrashAtMillis = nowMillis;
      }
    }
  }

  /** Returns when this node learned of a crash, or a time in the distant past. */
  long learnedAtMillis(String key) {
    return learnedAt.getOrDefault(key, Long.MIN_VALUE);
  }

  /**
   * Merges information from this node or another one.
   *
   * @return whether any of it is new
   */
  boolean merge(PartSuspect received, long nowMillis) {
    PartSuspect kept = received.without(this::wasDropped);
    recordLearned(kept, nowMillis);
    PartSuspect merged = suspect.merge(kept);
    if (nowMillis - answeredAtMillis <= ANSWER_VALID_MILLIS) {
      merged = merged.clear();
    }
    boolean changed = !merged.equals(suspect);
    replace(merged);
    dropOldest(nowMillis);
    return changed;
  }

  private void dropOldest(long nowMillis) {
    int surplus = suspect.crashes().size() - MAX_CRASHES;
    if (surplus > 0) {
      Set<String> dropped =
          suspect.crashes().keySet().stream()
              .sorted(
                  Comparator.comparing((String key) -> suspect.isCounted(key))
                      .thenComparing(this::learnedAtMillis)
                      .thenComparing(Comparator.naturalOrder()))
              .limit(surplus)
              .collect(Collectors.toSet());
      replace(suspect.without(dropped::contains));
      learnedAt.values().removeIf(at -> nowMillis - at > DROPPED_MILLIS);
    }
  }

  /**
   * Counts the crashes against the part, no more than two of each moment and of each request.
   *
   * @param explained crashes that have another cause
   * @param learnedByMillis monotonic time by which this node learned of the crashes that count
   */
  int unexplainedCrashes(ExplainedCrashes explained, long learnedByMillis) {
    if (suspect.isHeld() || weight < PartLedger.REQUIRED_CRASHES) {
      return 0;
    }
    List<String> keys =
        suspect.countedCrashes().stream()
            .filter(key -> learnedAtMillis(key) <= learnedByMillis)
            .filter(key -> !explained.contains(key, suspect.crashes().get(key)))
            .sorted(Comparator.comparingLong(this::learnedAtMillis).thenComparing(key -> key))
            .toList();
    Map<Integer, Integer> ofRequests = new HashMap<>();
    int counted = 0;
    int ofMoment = 0;
    long momentMillis = 0;
    for (String key : keys) {
      long time = learnedAtMillis(key);
      if (ofMoment == 0 || time - momentMillis > SAME_MOMENT_MILLIS) {
        momentMillis = time;
        ofMoment = 0;
      }
      int request = suspect.crashes().get(key).request();
      int ofRequest = request == PartCrash.SEVERAL ? 0 : ofRequests.getOrDefault(request, 0);
      if (ofMoment < MAX_COUNTED_OF_MOMENT && ofRequest < MAX_COUNTED_OF_REQUEST) {
        ofMoment++;
        ofRequests.put(request, ofRequest + 1);
        counted++;
      }
    }
    return counted;
  }
}
