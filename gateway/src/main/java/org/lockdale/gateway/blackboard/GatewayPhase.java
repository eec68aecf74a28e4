package org.lockdale.gateway.blackboard;

/** Lifecycle phase of a node. */
public enum GatewayPhase {
  /** The configuration or the backends are not known yet. */
  STARTING,
  /** Requests are served. */
  SERVING,
  /**
   * The node is stopping and should get no new connections; requests that still arrive are served.
   */
  STOPPING,
  /** Open requests are completed; new ones are refused as not run. */
  DRAINING;

  /** Returns whether a planned stop is in progress. */
  public boolean isEnding() {
    return this == STOPPING || this == DRAINING;
  }
}
