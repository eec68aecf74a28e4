package org.lockdale.gateway.configuration;

/**
 * A pool of a route with its weight.
 *
 * @param pool name of the pool
 * @param weight weight relative to the other pools of the route, at least 0
 */
public record WeightedPool(String pool, int weight) {}
