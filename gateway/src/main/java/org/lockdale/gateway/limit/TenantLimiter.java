package org.lockdale.gateway.limit;

import java.util.concurrent.CompletableFuture;
import org.lockdale.gateway.configuration.TenantLimit;

/** Keeps tenants to their limits. Safe for use by several threads. */
public interface TenantLimiter {

  /**
   * Counts a request. The future doesn't fail.
   *
   * @param tenant name of the tenant
   * @param limit its limit
   * @param amount what the request counts
   */
  CompletableFuture<Admission> admit(String tenant, TenantLimit limit, double amount);

  /** Gives back what a request counted that was not run and never will be. */
  void giveBack(Admission.Granted granted);
}
