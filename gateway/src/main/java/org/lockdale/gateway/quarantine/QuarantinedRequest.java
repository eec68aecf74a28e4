package org.lockdale.gateway.quarantine;

import java.util.Set;

/**
 * A request that is quarantined.
 *
 * @param fingerprint the request
 * @param crashedBackends ids of the backends that crashed while they ran it
 * @param untilMillis monotonic time at which it may be tried again
 */
public record QuarantinedRequest(
    RequestFingerprint fingerprint, Set<String> crashedBackends, long untilMillis) {

  /** Copies the set of backends. */
  public QuarantinedRequest {
    crashedBackends = Set.copyOf(crashedBackends);
  }
}
