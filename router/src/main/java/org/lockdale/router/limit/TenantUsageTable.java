package org.lockdale.router.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Usage by tenant. Bounded by the number of configured tenants. Safe for use by several threads.
 */
public final class TenantUsageTable {

  private final Map<String, TenantUsage> usage = new ConcurrentHashMap<>();

  /** Returns the usage of a tenant, creating it on first use. */
  public TenantUsage of(String tenant) {
    return usage.computeIfAbsent(tenant, absent -> new TenantUsage());
  }
}
