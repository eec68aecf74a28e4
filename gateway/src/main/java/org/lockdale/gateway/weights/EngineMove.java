package org.lockdale.gateway.weights;

/**
 * What the coordinator of a rollout tells the other nodes of one engine.
 *
 * @param engine id of the engine
 * @param model model whose weights are meant
 * @param version version that it moves to or holds
 * @param moving whether it is still on its way and takes no requests of the model
 */
public record EngineMove(String engine, String model, long version, boolean moving) {}
