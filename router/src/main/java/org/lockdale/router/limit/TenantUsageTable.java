package org.lockdale.router.limit;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Usage of all tenants that were seen. Bounded by the tenants that operators configured. */
public final class TenantUsageTable {

  private final Map<String, TenantUsage> usage = new ConcurrentHashMap<>();

  /** Returns the usage of a tenant. */
  public TenantUsage of(String tenant) {
    return usage.computeIfAbsent(tenant, absent -> new TenantUsage());
  }
}
