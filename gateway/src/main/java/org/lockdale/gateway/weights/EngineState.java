package org.lockdale.gateway.weights;

import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.Incarnation;

/**
 * State of an engine as it reports it.
 *
 * @param incarnation incarnation of the engine that reports it
 * @param weights version of the weights of each model
 * @param busy whether it is carrying out an order
 * @param orderCount number of orders that it has received since its start
 */
public record EngineState(
    Incarnation incarnation, Map<String, Long> weights, boolean busy, long orderCount) {

  /**
   * Returns whether this is the state of the incarnation in a record. Where either has no start
   * time, the ids of the servers are compared alone.
   *
   * @param engine the record
   */
  public boolean isOf(Backend engine) {
    Incarnation recorded = engine.incarnation();
    boolean comparable =
        incarnation.startedAtMillis().isPresent() && recorded.startedAtMillis().isPresent();
    return comparable
        ? incarnation.equals(recorded)
        : incarnation.server().equals(recorded.server());
  }
}
