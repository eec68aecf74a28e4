package org.lockdale.gateway.request;

import java.time.Duration;

/**
 * Limits that the request path enforces.
 *
 * @param retryRatio maximum number of retries per request
 * @param retryAllowance number of retries that are allowed in each window regardless of the number
 *     of requests
 * @param retryWindow length of that window
 * @param maxKeyProofAge age of the configuration beyond which keys are no longer trusted
 * @param startWait longest time for which a request waits for a node that has just started
 * @param keepsUrgency whether deferred requests stay ahead of less urgent ones
 */
public record RequestLimits(
    double retryRatio,
    double retryAllowance,
    Duration retryWindow,
    Duration maxKeyProofAge,
    Duration startWait,
    boolean keepsUrgency) {}
