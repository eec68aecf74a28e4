package org.lockdale.experiments;

/**
 * Measured hit rate, wasted recomputation and latency of one policy and seed.
 *
 * @param requests requests that ran in the measured period
 * @param refused requests that an engine rejected because its queue was full
 * @param prefixHitRate ratio of prompt tokens found in caches to all prompt tokens
 * @param wastedShare ratio of prefilled tokens that another engine had cached to all prefilled
 *     tokens
 * @param urgentP50 median time to first token of urgent requests, in milliseconds
 * @param urgentP99 99th percentile of the time to first token of urgent requests, in milliseconds
 * @param patientP99 99th percentile of the time to first token of all others, in milliseconds
 */
public record PlacementResult(
    int requests,
    int refused,
    double prefixHitRate,
    double wastedShare,
    double urgentP50,
    double urgentP99,
    double patientP99) {}
