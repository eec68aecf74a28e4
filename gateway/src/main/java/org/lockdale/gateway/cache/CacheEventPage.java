package org.lockdale.gateway.cache;

import java.util.List;

/**
 * Changes of the parts that a holder keeps, or all of its parts.
 *
 * @param epoch number that changes when the holder restarts, which loses all of its parts
 * @param next position at which the next page starts
 * @param gap whether changes are missing, so that the known contents are no longer valid
 * @param events the changes in order
 */
public record CacheEventPage(long epoch, long next, boolean gap, List<CacheEvent> events) {}
