package org.lockdale.gateway.configuration;

import java.util.Set;

/**
 * A set of interchangeable backends.
 *
 * @param name name of the pool
 * @param maxConnections maximum number of connections that each backend accepts from all callers
 *     together
 * @param models models that its engines run; empty if its backends are not engines
 */
public record Pool(String name, int maxConnections, Set<String> models) {

  /** Returns whether the backends are model engines. */
  public boolean hasEngines() {
    return !models.isEmpty();
  }
}
