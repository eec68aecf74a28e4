package org.lockdale.gateway.weights;

import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.Incarnation;

/**
 * What an engine tells of itself.
 *
 * @param incarnation which life of the engine tells it
 * @param weights version of the weights of each model
 * @param busy whether an order is under way
 * @param orderCount orders it has taken since its start
 */
public record EngineState(
    Incarnation incarnation, Map<String, Long> weights, boolean busy, long orderCount) {

  /**
   * Returns whether the life on record tells it. Where either tells no start, the server's id
   * decides alone.
   */
  public boolean isOf(Backend engine) {
    Incarnation onRecord = engine.incarnation();
    boolean comparable =
        incarnation.startedAtMillis().isPresent() && onRecord.startedAtMillis().isPresent();
    return comparable
        ? incarnation.equals(onRecord)
        : incarnation.server().equals(onRecord.server());
  }
}
