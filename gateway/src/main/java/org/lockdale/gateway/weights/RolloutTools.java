package org.lockdale.gateway.weights;

import org.lockdale.gateway.cluster.ClusterTable;

/**
 * What a coordinator works with.
 *
 * @param control calls engines
 * @param table tells the other nodes
 */
public record RolloutTools(EngineControl control, ClusterTable table) {}
