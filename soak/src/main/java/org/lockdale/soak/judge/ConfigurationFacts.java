package org.lockdale.soak.judge;

import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A configuration as far as rules depend on it.
 *
 * @param version rises with every configuration
 * @param routes routes by the prefix of their paths
 * @param tenants tenants by API key
 * @param isolated tenants that share no cached prompt
 */
public record ConfigurationFacts(
    long version,
    Map<String, RouteFacts> routes,
    Map<String, String> tenants,
    Set<String> isolated) {

  /** Copies the collections. */
  public ConfigurationFacts {
    routes = Map.copyOf(routes);
    tenants = Map.copyOf(tenants);
    isolated = Set.copyOf(isolated);
  }

  /** Returns the route with the longest matching prefix, or null if there is none. */
  public @Nullable RouteFacts route(String path) {
    return routes.entrySet().stream()
        .filter(entry -> path.startsWith(entry.getKey()))
        .max(Map.Entry.comparingByKey((left, right) -> left.length() - right.length()))
        .map(Map.Entry::getValue)
        .orElse(null);
  }

  /** Returns whether a service may run a request under a key. */
  public boolean allows(String path, @Nullable String key, String service) {
    RouteFacts route = route(path);
    return route != null && route.service().equals(service) && knows(key);
  }

  /** Returns whether a key is known; a request needs none where there are no tenants. */
  public boolean knows(@Nullable String key) {
    return tenants.isEmpty() || key != null && tenants.containsKey(key);
  }
}
