package org.lockdale.router.placement;

import org.lockdale.router.engine.EngineView;

/**
 * The engine chosen for a request.
 *
 * @param engine chosen engine
 * @param estimatedCachedTokens number of prompt tokens that it is estimated to have cached
 * @param expectedMillis expected time to the first token, in milliseconds
 * @param hasCapacity whether the engine can accept the request now; otherwise the request waits at
 *     the node
 */
public record Placement(
    EngineView engine, int estimatedCachedTokens, double expectedMillis, boolean hasCapacity) {}
