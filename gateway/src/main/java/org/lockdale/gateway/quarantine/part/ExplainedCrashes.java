package org.lockdale.gateway.quarantine.part;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The crashes that have a known cause, so that they don't count against the parts of other
 * requests: a part that is held back, or a quarantined request.
 */
final class ExplainedCrashes {

  private final Set<String> byParts = new HashSet<>();
  private final Map<String, Set<Integer>> byRequests;

  /**
   * Creates an instance without causes among the parts.
   *
   * @param byRequests hashes of the contents of the quarantined requests that crashed backends, by
   *     key of the crash
   */
  ExplainedCrashes(Map<String, Set<Integer>> byRequests) {
    this.byRequests = byRequests;
  }

  /** Adds the crashes of a part that is held back. */
  void add(PartSuspect held) {
    byParts.addAll(held.countedCrashes());
  }

  /**
   * Returns whether a crash of a part has another cause. A quarantined request is none for its own
   * parts, since a part of it may be why it crashes backends.
   */
  boolean contains(String key, PartCrash crash) {
    Set<Integer> requests = byRequests.get(key);
    boolean byOtherRequest =
        requests != null
            && crash.request() != PartCrash.SEVERAL
            && !requests.contains(crash.request());
    return byOtherRequest || byParts.contains(key);
  }
}
