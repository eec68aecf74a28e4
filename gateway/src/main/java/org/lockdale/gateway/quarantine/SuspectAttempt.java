package org.lockdale.gateway.quarantine;

/**
 * An attempt of a request that is suspected of ending back ends.
 *
 * @param fingerprint the request
 * @param sketch tells most other requests apart without their bodies
 * @param backend id of the incarnation that it was sent to
 */
public record SuspectAttempt(RequestFingerprint fingerprint, int sketch, String backend) {}
