package org.lockdale.gateway.quarantine;

import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of a request on backends of which it is not known yet whether they crashed while
 * they ran it.
 *
 * @param fingerprint the request
 * @param sketch distinguishes it from most other requests without reading their bodies
 * @param backends ids of the incarnations that the attempts were sent to
 * @param resolvedByMillis monotonic time by which it is known which of the backends crashed, unless
 *     an attempt is still in progress or the shared store is unavailable
 */
record UnresolvedAttempts(
    RequestFingerprint fingerprint, int sketch, Set<String> backends, long resolvedByMillis) {

  /** Copies the set of backends. */
  UnresolvedAttempts {
    backends = Set.copyOf(backends);
  }

  /** Returns the union of two sets of attempts of the same request. */
  UnresolvedAttempts merge(UnresolvedAttempts other) {
    Set<String> merged = new HashSet<>(backends);
    merged.addAll(other.backends);
    return new UnresolvedAttempts(
        fingerprint, sketch, merged, Math.max(resolvedByMillis, other.resolvedByMillis));
  }
}
