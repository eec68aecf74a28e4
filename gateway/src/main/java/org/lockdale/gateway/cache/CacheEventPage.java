package org.lockdale.gateway.cache;

import java.util.List;

/**
 * Changes of what a holder keeps, or all that it keeps.
 *
 * @param epoch changes when the holder restarts and has lost everything
 * @param next where the next page begins
 * @param gap whether changes are missing, so that everything must be read anew
 * @param events the changes in order
 */
public record CacheEventPage(long epoch, long next, boolean gap, List<CacheEvent> events) {}
