package org.lockdale.soak.judge;

import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The parts of a configuration that the rules depend on.
 *
 * @param version version, which increases with every configuration
 * @param routes routes by the prefix of their paths
 * @param tenants tenants by API key
 * @param isolated tenants whose cached prompts are not shared with other tenants
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

  /** Returns whether a service may run a request for a path that carries a key; null for none. */
  public boolean allows(String path, @Nullable String key, String service) {
    RouteFacts route = route(path);
    return route != null && route.service().equals(service) && acceptsKey(key);
  }

  /** Returns whether a key, or null for none, is accepted; without tenants any request is. */
  public boolean acceptsKey(@Nullable String key) {
    return tenants.isEmpty() || key != null && tenants.containsKey(key);
  }
}
