package org.lockdale.gateway.quarantine;

/**
 * An attempt of a request that is suspected of crashing backends.
 *
 * @param fingerprint the request
 * @param sketch distinguishes it from most other requests without reading their bodies
 * @param backend id of the incarnation that it was sent to
 * @param id distinguishes it from all other attempts of any node; empty if it was recorded by an
 *     earlier version
 */
public record SuspectAttempt(
    RequestFingerprint fingerprint, int sketch, String backend, String id) {}
