package org.lockdale.gateway.cluster;

/** What other nodes know of the rates that back ends name. */
public interface RateKnowledge {

  /**
   * Returns whether a node has shown that it knows of rates; one of an earlier version never does.
   */
  boolean knowsRates(String node);

  /**
   * Takes in that a relay chose a back end without regard to its rate; it may have just started.
   */
  void uncounted(String relay, String backend);
}
