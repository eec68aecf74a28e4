package org.lockdale.experiments;

import java.util.List;
import org.lockdale.coordination.placement.PrefixChain;

/** A way to choose an engine. */
interface PlacementPolicy {

  /**
   * A choice.
   *
   * @param engine the engine
   * @param uncachedTokens prompt tokens it is expected to compute
   */
  record Choice(SimulatedEngine engine, int uncachedTokens) {}

  /**
   * Chooses an engine.
   *
   * @param node what the deciding node believes
   * @param engines all engines; only the oracle may ask them for the truth
   * @param chain prefix blocks of the request
   * @param promptTokens length of the prompt
   */
  Choice choose(
      SimulatedNodeView node, List<SimulatedEngine> engines, PrefixChain chain, int promptTokens);
}
