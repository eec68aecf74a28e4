package org.lockdale.router.placement;

import java.util.Set;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.router.policy.Selector;

/**
 * What the choice of an engine needs to know of a request.
 *
 * @param model model to run
 * @param weightsVersion weights version that engines must hold
 * @param engineSelector engines allowed by the route
 * @param excludedEngines ids of engines that refused or failed the request
 * @param chain prefix blocks
 * @param promptTokens estimated length of the prompt
 * @param priorityLevel 0 to 1000
 * @param popularity how much this node is asked for the request's group and prefix
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
