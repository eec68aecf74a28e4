package org.lockdale.gateway.weights;

/**
 * Announcement of the rollout coordinator to the other nodes about one engine.
 *
 * @param engine id of the engine
 * @param model model whose weights the engine loads
 * @param version version that it moves to or holds
 * @param moving whether it is still loading the version and accepts no requests for the model
 */
public record EngineMove(String engine, String model, long version, boolean moving) {}
