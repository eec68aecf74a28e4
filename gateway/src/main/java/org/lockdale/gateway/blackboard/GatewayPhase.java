package org.lockdale.gateway.blackboard;

/** Lifecycle phase of a node. */
public enum GatewayPhase {
  /**
   * Initial phase, which lasts until a planned stop starts. It does not show whether the node
   * already has the state that it needs to serve requests.
   */
  STARTING,
  /** Requests are served. Not set at present; see {@link #STARTING}. */
  SERVING,
  /**
   * The node is stopping and should get no new connections; requests that still arrive are served.
   */
  STOPPING,
  /** Open requests are completed; new ones are refused as not run. */
  DRAINING,
  /**
   * As {@link #DRAINING}; besides, requests that may run only once are not sent to a backend any
   * more, as their responses might come too late.
   */
  FINISHING;

  /** Returns whether a planned stop is in progress. */
  public boolean isEnding() {
    return this == STOPPING || refusesRequests();
  }

  /** Returns whether new requests are refused. */
  public boolean refusesRequests() {
    return this == DRAINING || this == FINISHING;
  }
}
