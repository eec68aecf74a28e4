package org.lockdale.gateway.configuration;

/**
 * A pool's share of a route.
 *
 * @param pool name of the pool
 * @param weight share relative to the other pools of the route, at least 0
 */
public record WeightedPool(String pool, int weight) {}
