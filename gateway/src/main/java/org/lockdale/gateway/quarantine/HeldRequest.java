package org.lockdale.gateway.quarantine;

import java.util.Set;

/**
 * A request that is quarantined.
 *
 * @param fingerprint the request
 * @param ends ids of the backends that crashed while they ran it
 * @param untilMillis monotonic time at which it may be tried again
 */
public record HeldRequest(RequestFingerprint fingerprint, Set<String> ends, long untilMillis) {

  /** Copies the set of backends. */
  public HeldRequest {
    ends = Set.copyOf(ends);
  }
}
