package org.lockdale.gateway.configuration;

import java.util.Set;

/**
 * A set of interchangeable back ends.
 *
 * @param name name of the pool
 * @param maxConnections most connections that one back end accepts from all callers together
 * @param models models that its engines run; empty where they are no engines
 */
public record Pool(String name, int maxConnections, Set<String> models) {

  /** Returns whether the back ends are model engines. */
  public boolean hasEngines() {
    return !models.isEmpty();
  }
}
