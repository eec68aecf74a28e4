package org.lockdale.router.placement;

import java.util.Set;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.router.policy.Selector;

/**
 * Properties of a request that determine the choice of its engine.
 *
 * @param model model to run
 * @param weightsVersion weights version that engines must hold
 * @param engineSelector selects the engines allowed by the route
 * @param excludedEngines ids of engines that rejected or failed an attempt of the request
 * @param chain hashes of the prefix blocks
 * @param promptTokens estimated length of the prompt in tokens
 * @param priorityLevel 0 to 1000
 * @param popularity shares of the request's group and prefix in this node's requests
 */
public record PlacementRequest(
    String model,
    String weightsVersion,
    Selector engineSelector,
    Set<String> excludedEngines,
    PrefixChain chain,
    int promptTokens,
    int priorityLevel,
    Popularity popularity) {}
