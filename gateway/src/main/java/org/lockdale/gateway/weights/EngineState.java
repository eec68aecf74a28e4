package org.lockdale.gateway.weights;

import java.util.Map;

/**
 * What an engine tells of itself.
 *
 * @param weights version of the weights of each model
 * @param busy whether an order is under way
 * @param orderCount orders it has taken since its start
 */
public record EngineState(Map<String, Long> weights, boolean busy, long orderCount) {}
