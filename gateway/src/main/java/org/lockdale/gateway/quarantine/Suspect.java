package org.lockdale.gateway.quarantine;

import java.util.Map;
import java.util.TreeMap;

/**
 * A request that was running on backends when they crashed. Immutable. The views of several nodes
 * are merged; the result doesn't depend on the order, so all nodes converge.
 *
 * @param fingerprint the request
 * @param sketch distinguishes it from most other requests without reading their bodies
 * @param crashes crashes of backends while they ran it, by key ({@link CrashKeys})
 */
public record Suspect(
    RequestFingerprint fingerprint, int sketch, Map<String, CrashInvolvement> crashes) {

  /** Smallest number of crashes that quarantine a request. */
  static final int CRASHES_TO_QUARANTINE = 3;

  /** Copies the map of crashes. */
  public Suspect {
    crashes = Map.copyOf(crashes);
  }

  /** Returns the sum of the weights of its crashes. */
  int weight() {
    int weight = 0;
    for (CrashInvolvement crash : crashes.values()) {
      weight += crash.weight();
    }
    return weight;
  }

  /** Returns the number of its crashes that aren't cleared. */
  int countedCrashes() {
    return (int) crashes.values().stream().filter(crash -> !crash.cleared()).count();
  }

  /**
   * Returns whether it may have been quarantined, and was cleared since; not if it is only known
   * that its crashes are too few.
   */
  boolean wasCleared() {
    return weight() == 0 && crashes.size() >= CRASHES_TO_QUARANTINE;
  }

  /** Returns whether its next crash may quarantine it. */
  boolean isSignificant() {
    return weight() >= SuspectLedger.SIGNIFICANT_WEIGHT;
  }

  /** Returns the union of two views of the same request. */
  Suspect merge(Suspect other) {
    Map<String, CrashInvolvement> merged = new TreeMap<>(crashes);
    other.crashes.forEach(
        (backend, crash) -> merged.merge(backend, crash, CrashInvolvement::merge));
    return new Suspect(fingerprint, sketch, merged);
  }

  /** Returns whether this view contains everything in another one. */
  boolean includes(Suspect other) {
    return merge(other).equals(this);
  }

  /** Returns the same request with all crashes cleared. */
  Suspect withAllCleared() {
    Map<String, CrashInvolvement> cleared = new TreeMap<>();
    crashes.forEach((backend, crash) -> cleared.put(backend, crash.asCleared()));
    return new Suspect(fingerprint, sketch, cleared);
  }

  /** Returns the same request with the crash of one backend cleared, since it is alive. */
  Suspect withCleared(String backend) {
    Map<String, CrashInvolvement> cleared = new TreeMap<>(crashes);
    cleared.computeIfPresent(backend, (id, crash) -> crash.asCleared());
    return new Suspect(fingerprint, sketch, cleared);
  }

  /**
   * Returns the same request with as many crashes cleared, in the order of the backends' ids, as
   * bring its weight down to a limit.
   */
  Suspect clearedDownTo(int weight) {
    Suspect lighter = this;
    for (String backend : new TreeMap<>(crashes).keySet()) {
      if (lighter.weight() > weight) {
        lighter = lighter.withCleared(backend);
      }
    }
    return lighter;
  }
}
