package org.lockdale.gateway.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A version of the configuration that operators set. Immutable. */
public final class GatewayConfiguration {

  /** Configuration of a node that has not read any version yet. */
  public static final GatewayConfiguration NONE =
      new GatewayConfiguration(-1, List.of(), List.of(), List.of(), List.of());

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, Pool> pools = new HashMap<>();
  private final Map<String, Tenant> tenantsByKey = new HashMap<>();
  private final Map<String, TenantLimit> tenantLimits;
  private final List<CacheStore> cacheStores;
  private final CacheScopes cacheScopes;
  private final boolean keysRequired;

  /**
   * Creates a configuration.
   *
   * @param version version, which increases with each change
   * @param routes all routes
   * @param pools all pools
   * @param cacheStores stores of cached prompts
   * @param tenants all tenants; if empty, requests need no keys
   */
  public GatewayConfiguration(
      long version,
      List<Route> routes,
      List<Pool> pools,
      List<CacheStore> cacheStores,
      List<Tenant> tenants) {
    this.version = version;
    this.cacheStores = List.copyOf(cacheStores);
    for (Route route : routes) {
      String host = route.host().toLowerCase(Locale.ROOT);
      routesByHost.computeIfAbsent(host, name -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(sameHost -> sameHost.sort(longestFirst));
    pools.forEach(pool -> this.pools.put(pool.name(), pool));
    tenants.forEach(tenant -> tenant.keys().forEach(key -> tenantsByKey.put(key, tenant)));
    Map<String, TenantLimit> limits = new HashMap<>();
    for (Tenant tenant : tenants) {
      if (tenant.limit() != null) {
        limits.put(tenant.name(), tenant.limit());
      }
    }
    tenantLimits = Map.copyOf(limits);
    cacheScopes = new CacheScopes(tenants);
    keysRequired = !tenants.isEmpty();
  }

  /** Returns the version, or -1 if none was read yet. */
  public long version() {
    return version;
  }

  /** Returns whether any version was read. */
  public boolean isKnown() {
    return version >= 0;
  }

  /**
   * Returns the route of a host with the longest prefix that matches a path, or empty if there is
   * none. Hosts are compared without regard to case.
   */
  public Optional<Route> route(String host, String path) {
    for (Route route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns a pool by name, or empty if it does not exist. */
  public Optional<Pool> pool(String name) {
    return Optional.ofNullable(pools.get(name));
  }

  /** Returns the stores of cached prompts. */
  public List<CacheStore> cacheStores() {
    return cacheStores;
  }

  /** Returns the tenant of a key, or empty if there is none or the key is null. */
  public Optional<Tenant> tenantOf(@Nullable String key) {
    return Optional.ofNullable(tenantsByKey.get(key));
  }

  /**
   * Returns the scope within which cached prompts are shared with the requests of a tenant.
   *
   * @param tenant the tenant, which may be of an earlier configuration, or null for none
   * @return the scope, or null for the scope that is shared while no tenant is isolated
   */
  public @Nullable String cacheScopeOf(@Nullable Tenant tenant) {
    return cacheScopes.of(tenant);
  }

  /** Returns the limits of the tenants that have one, by tenant name. */
  public Map<String, TenantLimit> tenantLimits() {
    return tenantLimits;
  }

  /** Returns whether requests need keys, which is the case if there are any tenants. */
  public boolean keysRequired() {
    return keysRequired;
  }
}
