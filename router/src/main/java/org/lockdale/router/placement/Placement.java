package org.lockdale.router.placement;

import org.lockdale.router.engine.EngineView;

/**
 * The engine chosen for a request.
 *
 * @param engine engine
 * @param believedCachedTokens part of the prompt that it is believed to hold
 * @param expectedMillis expected time to the first token
 * @param hasRoom whether it is expected to start the request without queueing it behind a full
 *     batch
 */
public record Placement(
    EngineView engine, int believedCachedTokens, double expectedMillis, boolean hasRoom) {}
