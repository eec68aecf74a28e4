package org.lockdale.gateway.cluster;

/** Receives placements that relays made without counting them against a rate. */
@FunctionalInterface
public interface UncountedPlacementListener {

  /**
   * Called when a relay placed a request without counting it against the backend's rate; the relay
   * may have just started and not know the rate yet.
   */
  void onUncountedPlacement(String relay, String backend);
}
