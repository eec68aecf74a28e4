package org.lockdale.gateway.weights;

import java.util.function.Consumer;

/**
 * What a coordinator works with.
 *
 * @param control calls engines
 * @param announcer tells who places requests which engines move
 */
public record RolloutTools(EngineControl control, Consumer<EngineMove> announcer) {}
