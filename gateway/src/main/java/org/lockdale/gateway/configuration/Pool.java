package org.lockdale.gateway.configuration;

import java.util.Set;

/**
 * A set of interchangeable backends.
 *
 * @param name name of the pool
 * @param maxConnections maximum number of connections that each backend accepts from all callers
 *     together
 * @param models models that its engines run; empty if its backends are not engines
 * @param memoryTokens tokens that the memory of each engine holds, of running requests and cached
 *     prompts together; 0 if unknown
 * @param tokensPerEvent largest number of tokens in one event of a stream; at least 1
 */
public record Pool(
    String name, int maxConnections, Set<String> models, long memoryTokens, int tokensPerEvent) {

  /** Returns whether the backends are model engines. */
  public boolean hasEngines() {
    return !models.isEmpty();
  }
}
