package org.lockdale.gateway.blackboard;

/** Phase in the life of a node. */
public enum GatewayPhase {
  /** No configuration or back ends are known yet. */
  STARTING,
  /** Requests are served. */
  SERVING,
  /** No further connections are wanted; what still comes is served. */
  STOPPING,
  /** Open requests are finished; new ones are refused as not run. */
  DRAINING;

  /** Returns whether a planned stop is under way. */
  public boolean isEnding() {
    return this == STOPPING || this == DRAINING;
  }
}
