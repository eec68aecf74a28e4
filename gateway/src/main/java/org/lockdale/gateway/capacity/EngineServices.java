package org.lockdale.gateway.capacity;

import org.lockdale.coordination.time.SystemTime;

/**
 * What requests and placement use of the estimates of engines.
 *
 * @param capacities estimated capacities
 * @param silent engines that have stopped responding
 * @param observations receives the progress of attempts
 */
public record EngineServices(
    EngineCapacities capacities, SilentEngines silent, EngineObservations observations) {

  /** Estimates nothing and observes nothing. */
  public static final EngineServices OFF =
      new EngineServices(
          EngineCapacities.UNKNOWN,
          SilentEngines.NONE,
          new EngineObservations(false, SystemTime.instance()));
}
