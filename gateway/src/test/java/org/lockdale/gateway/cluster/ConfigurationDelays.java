package org.lockdale.gateway.cluster;

import org.lockdale.coordination.simulation.VirtualTime;

/** Keeps the longest time from the acknowledgement of a configuration until it was in force. */
final class ConfigurationDelays {

  private final SimulatedOperatorStore store;
  private final VirtualTime time;
  private long longestMillis;

  ConfigurationDelays(SimulatedOperatorStore store, VirtualTime time) {
    this.store = store;
    this.time = time;
  }

  /** Notes that versions are in force now, those after the first one up to the last one. */
  void note(long after, long upTo) {
    store
        .acknowledgedAtMillis()
        .forEach(
            (version, at) -> {
              if (version > after && version <= upTo) {
                longestMillis = Math.max(longestMillis, time.monotonicMillis() - at);
              }
            });
  }

  long longestMillis() {
    return longestMillis;
  }
}
