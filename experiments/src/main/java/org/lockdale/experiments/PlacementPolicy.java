package org.lockdale.experiments;

import java.util.List;
import org.lockdale.coordination.placement.PrefixChain;

/** Chooses the engine that runs a request. */
interface PlacementPolicy {

  /**
   * The chosen engine with the expected cost.
   *
   * @param engine the chosen engine
   * @param uncachedTokens prompt tokens that are expected not to be in its cache
   */
  record Choice(SimulatedEngine engine, int uncachedTokens) {}

  /**
   * Chooses an engine.
   *
   * @param node state of the cluster as known to the node that decides
   * @param engines all engines; only the oracle may read their actual state
   * @param chain hashes of the prompt's prefix blocks
   * @param promptTokens length of the prompt in tokens
   */
  Choice choose(
      SimulatedNodeView node, List<SimulatedEngine> engines, PrefixChain chain, int promptTokens);
}
