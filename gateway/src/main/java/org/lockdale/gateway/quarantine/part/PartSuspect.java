package org.lockdale.gateway.quarantine.part;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * A part of prompts that backends had just begun to answer when they crashed. Immutable. The views
 * of several nodes are merged; the result doesn't depend on the order, so all nodes converge.
 *
 * @param part the part
 * @param depth number of parts before it in a prompt
 * @param crashes the crashes, by key of the crash
 * @param holds how often the part was held back or released; odd while it is held back
 * @param trials how often a request with it was sent as a trial while it was held back
 */
public record PartSuspect(
    PromptPartKey part, int depth, Map<String, PartCrash> crashes, int holds, int trials) {

  private static final int SIGNIFICANT_WEIGHT = PartLedger.REQUIRED_CRASHES - 1;

  /** Copies the map of crashes. */
  public PartSuspect {
    crashes = Map.copyOf(crashes);
  }

  /** Returns whether requests with the part are held back. */
  public boolean isHeld() {
    return holds % 2 == 1;
  }

  /** Returns the keys of the crashes that count against the part. */
  public Set<String> countedCrashes() {
    return crashes.keySet().stream().filter(this::isCounted).collect(Collectors.toSet());
  }

  /** Returns the number of crashes that count against the part. */
  int weight() {
    int weight = 0;
    for (PartCrash crash : crashes.values()) {
      weight += crash.cleared() ? 0 : 1;
    }
    return weight;
  }

  /** Returns whether anything counts against it. */
  boolean isSuspicious() {
    return isHeld() || weight() > 0;
  }

  /**
   * Returns whether its next crash may hold it back, or it is held back already, so that all nodes
   * have to know its state.
   */
  boolean isSignificant() {
    return isHeld() || weight() >= SIGNIFICANT_WEIGHT;
  }

  boolean isCounted(String key) {
    PartCrash crash = crashes.get(key);
    return crash != null && !crash.cleared();
  }

  /** Returns the union of two views of the same part. */
  PartSuspect merge(PartSuspect other) {
    Map<String, PartCrash> merged = new TreeMap<>(crashes);
    other.crashes.forEach((key, crash) -> merged.merge(key, crash, PartCrash::merge));
    return new PartSuspect(
        part,
        Math.max(depth, other.depth),
        merged,
        Math.max(holds, other.holds),
        Math.max(trials, other.trials));
  }

  /** Returns whether this view contains everything in another one. */
  boolean includes(PartSuspect other) {
    return merge(other).equals(this);
  }

  /** Returns whether another view counts crashes that were cleared, or misses a decision. */
  boolean corrects(PartSuspect other) {
    return holds > other.holds
        || crashes.entrySet().stream()
            .anyMatch(crash -> crash.getValue().cleared() && other.isCounted(crash.getKey()));
  }

  /** Returns the same part without some crashes. */
  PartSuspect without(Predicate<String> dropped) {
    if (crashes.keySet().stream().noneMatch(dropped)) {
      return this;
    }
    Map<String, PartCrash> kept = new TreeMap<>(crashes);
    kept.keySet().removeIf(dropped);
    return new PartSuspect(part, depth, kept, holds, trials);
  }

  /** Returns the same part with all crashes cleared; it is not held back any longer. */
  PartSuspect clear() {
    Map<String, PartCrash> cleared = new TreeMap<>();
    crashes.forEach((key, crash) -> cleared.put(key, crash.clear()));
    return new PartSuspect(part, depth, cleared, isHeld() ? holds + 1 : holds, trials);
  }

  /** Returns the same part with one crash cleared. */
  PartSuspect clear(String key) {
    Map<String, PartCrash> cleared = new TreeMap<>(crashes);
    cleared.computeIfPresent(key, (same, crash) -> crash.clear());
    return new PartSuspect(part, depth, cleared, holds, trials);
  }

  /** Returns the same part, held back. */
  PartSuspect hold() {
    return isHeld() ? this : new PartSuspect(part, depth, crashes, holds + 1, trials);
  }

  /** Returns the same part, released, with all crashes but a few still counting against it. */
  PartSuspect release(int countedCrashes) {
    PartSuspect released = this;
    for (String key : new TreeMap<>(crashes).keySet()) {
      if (released.weight() > countedCrashes) {
        released = released.clear(key);
      }
    }
    return new PartSuspect(part, depth, released.crashes, isHeld() ? holds + 1 : holds, trials);
  }

  /** Returns the same part after one trial more. */
  PartSuspect tried() {
    return new PartSuspect(part, depth, crashes, holds, trials + 1);
  }
}
