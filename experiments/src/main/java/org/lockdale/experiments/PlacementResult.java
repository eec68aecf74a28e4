package org.lockdale.experiments;

/**
 * The users' three measures for one policy and seed.
 *
 * @param requests requests that were measured
 * @param refused requests that an engine refused for its full queue
 * @param prefixHitRate prompt tokens found in caches over all prompt tokens
 * @param wastedShare prefilled tokens that another engine held over all prefilled tokens
 * @param urgentP50 median time to first token of the requests that can't wait, in milliseconds
 * @param urgentP99 99th percentile of the same
 * @param patientP99 99th percentile of the others
 */
public record PlacementResult(
    int requests,
    int refused,
    double prefixHitRate,
    double wastedShare,
    double urgentP50,
    double urgentP99,
    double patientP99) {}
