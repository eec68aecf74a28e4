package org.lockdale.gateway.quarantine;

import java.util.Set;

/**
 * A request that is quarantined, or withheld until its unresolved attempts are resolved.
 *
 * @param fingerprint the request
 * @param crashedBackends ids of the backends that crashed while they ran it
 * @param unresolvedBackends ids of the backends that may have crashed while they ran it, if it is
 *     withheld because of them; empty if it is quarantined
 * @param untilMillis monotonic time at which it may be tried again
 */
public record QuarantinedRequest(
    RequestFingerprint fingerprint,
    Set<String> crashedBackends,
    Set<String> unresolvedBackends,
    long untilMillis) {

  /** Copies the sets of backends. */
  public QuarantinedRequest {
    crashedBackends = Set.copyOf(crashedBackends);
    unresolvedBackends = Set.copyOf(unresolvedBackends);
  }

  /** Returns the same request with another time at which it may be tried again. */
  QuarantinedRequest withUntilMillis(long millis) {
    return new QuarantinedRequest(fingerprint, crashedBackends, unresolvedBackends, millis);
  }

  /** Returns whether it is withheld only until its unresolved attempts are resolved. */
  public boolean isWithheld() {
    return !unresolvedBackends.isEmpty();
  }
}
