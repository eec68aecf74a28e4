package org.lockdale.router.request;

import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.time.Time;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.limit.TenantUsageTable;

/** Acquires a slot within the tenant's limits, which is released when the request ends. */
final class TenantLimitStep implements RequestStep {

  private final TenantUsageTable usage;
  private final Time time;

  TenantLimitStep(TenantUsageTable usage, Time time) {
    this.usage = usage;
    this.time = time;
  }

  @Override
  public CompletableFuture<Next> apply(RequestContext context) {
    boolean granted =
        usage.of(context.tenant.name()).tryAcquire(context.tenant.limit(), time.monotonicMillis());
    if (!granted) {
      throw RequestException.of(
          ErrorKind.TENANT_LIMIT,
          "Tenant '" + context.tenant.name() + "' has reached its limit at this node.");
    }
    context.tenantSlotAcquired = true;
    return CONTINUE;
  }

  void release(RequestContext context) {
    if (context.tenantSlotAcquired) {
      context.tenantSlotAcquired = false;
      usage.of(context.tenant.name()).release();
    }
  }
}
