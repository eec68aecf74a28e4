package org.lockdale.gateway.cluster;

/** Tracks which nodes take the rates that backends advertise into account. */
public interface PeerRateSupport {

  /**
   * Returns whether a node has shown that it supports rates; one of an earlier version never does.
   */
  boolean supportsRates(String node);

  /**
   * Called when a relay placed a request without counting it against the backend's rate; the relay
   * may have just started and not know the rate yet.
   */
  void onUncountedPlacement(String relay, String backend);
}
