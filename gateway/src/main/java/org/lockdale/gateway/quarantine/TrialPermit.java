package org.lockdale.gateway.quarantine;

import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Lets one of the requests with the contents of a quarantined one be sent. Safe for use by several
 * threads.
 */
final class TrialPermit {

  private final AtomicReference<@Nullable String> usedBy = new AtomicReference<>();

  /** Returns whether no request has used the permit. */
  boolean isAvailable() {
    return usedBy.get() == null;
  }

  /**
   * Uses the permit for a request that is about to be sent; returns false if it was used before.
   */
  boolean use(String requestId) {
    return usedBy.compareAndSet(null, requestId);
  }

  /** Returns whether a request has used the permit. */
  boolean isUsedBy(String requestId) {
    return requestId.equals(usedBy.get());
  }

  /** Makes the permit available again, if a request that used it has not left this node. */
  void restore(String requestId) {
    if (isUsedBy(requestId)) {
      usedBy.set(null);
    }
  }
}
