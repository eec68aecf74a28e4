package org.lockdale.gateway.limit;

import java.util.concurrent.CompletableFuture;
import org.lockdale.gateway.configuration.TenantLimit;

/** Enforces the limits of tenants. Thread-safe. */
public interface TenantLimiter {

  /**
   * Decides whether a request is within its tenant's limit, and deducts it if so. The future never
   * completes exceptionally.
   *
   * @param tenant name of the tenant
   * @param limit limit of the tenant
   * @param amount amount that the request consumes
   * @param maxWaitMillis longest time for which the request waits while the limiter has too few
   *     shares of the limits to decide, as after a restart of all nodes, in milliseconds
   */
  CompletableFuture<Admission> admit(
      String tenant, TenantLimit limit, double amount, long maxWaitMillis);

  /** Refunds the amount of a request that was not run and never will be. */
  void refund(Admission.Granted granted);
}
