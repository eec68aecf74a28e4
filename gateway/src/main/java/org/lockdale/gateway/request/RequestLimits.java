package org.lockdale.gateway.request;

import java.time.Duration;

/**
 * Bounds that the request path keeps.
 *
 * @param retryRatio most repeated sends a request
 * @param retryAllowance repeated sends in a window whatever the number of requests
 * @param retryWindow length of that window
 * @param maxKeyProofAge age of the configuration from which on keys are no longer trusted
 * @param startWait longest time for which a request waits for a node that has just started
 */
public record RequestLimits(
    double retryRatio,
    double retryAllowance,
    Duration retryWindow,
    Duration maxKeyProofAge,
    Duration startWait) {}
