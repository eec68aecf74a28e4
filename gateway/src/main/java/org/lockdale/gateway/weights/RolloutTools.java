package org.lockdale.gateway.weights;

/**
 * What a coordinator works with.
 *
 * @param control calls engines
 * @param board tells the other nodes
 */
public record RolloutTools(EngineControl control, RolloutBoard board) {}
