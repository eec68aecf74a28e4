package org.lockdale.gateway.request;

import java.util.function.Consumer;
import org.lockdale.gateway.configuration.Tenant;
import org.lockdale.gateway.configuration.TenantLimit;
import org.lockdale.gateway.limit.Admission;
import org.lockdale.gateway.limit.TenantLimiter;
import org.tinylog.Logger;

/**
 * Keeps requests back that lie beyond their tenants' limits. Follows the filters, since the answer
 * may come from another node. Requests without a limit go on at once.
 */
final class TenantLimitStep {

  /** A relay that answers no question is replaced within about this time. */
  private static final long UNKNOWN_RETRY_AFTER_MILLIS = 300;

  private final TenantLimiter limiter;

  TenantLimitStep(TenantLimiter limiter) {
    this.limiter = limiter;
  }

  /**
   * Lets a request go on or refuses it, on the event loop of its caller's connection.
   *
   * @param state the request, after the filters
   * @param onAdmitted run where it may go on
   * @param onRefused told of the refusal where it may not
   */
  void apply(RequestState state, Runnable onAdmitted, Consumer<Refusal> onRefused) {
    Tenant tenant = state.tenant;
    TenantLimit limit = tenant == null ? null : tenant.limit();
    if (tenant == null || limit == null) {
      onAdmitted.run();
      return;
    }
    double amount = limit.amountOf(state.request.tokens());
    limiter
        .admit(tenant.name(), limit, amount)
        .thenAcceptAsync(
            admission -> decided(state, admission, onAdmitted, onRefused),
            state.exchange.eventLoop());
  }

  private static void decided(
      RequestState state, Admission admission, Runnable onAdmitted, Consumer<Refusal> onRefused) {
    if (admission instanceof Admission.Granted granted) {
      state.granted = granted;
      onAdmitted.run();
    } else if (admission instanceof Admission.Beyond beyond) {
      Logger.info(
          "event=tenant-beyond-limit request={} tenant={} retry-after-ms={}",
          state.request.id(),
          state.tenant == null ? "" : state.tenant.name(),
          beyond.retryAfterMillis());
      onRefused.accept(
          new Refusal(
              RefusalKind.BEYOND_LIMIT,
              "The tenant is beyond its limit; come back after the time given.",
              beyond.retryAfterMillis()));
    } else {
      onRefused.accept(
          new Refusal(
              RefusalKind.UNAVAILABLE,
              "No node could tell whether the tenant is within its limit; try again.",
              UNKNOWN_RETRY_AFTER_MILLIS));
    }
  }

  /** Gives back what a request counted that was not run and never will be. */
  void giveBack(RequestState state) {
    Admission.Granted granted = state.granted;
    if (granted != null) {
      state.granted = null;
      limiter.giveBack(granted);
    }
  }
}
