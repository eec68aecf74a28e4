package org.lockdale.gateway.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.configuration.Tenant;
import org.lockdale.gateway.configuration.TenantLimit;
import org.lockdale.gateway.limit.Admission;
import org.lockdale.gateway.limit.TenantLimiter;
import org.tinylog.Logger;

/**
 * Refuses requests that exceed the limits of their tenants. Runs after the filters, since the
 * decision may have to be requested from another node. Requests without a limit proceed
 * immediately.
 */
final class TenantLimitStep {

  /** A limit relay that does not respond is replaced within about this time. */
  private static final long UNKNOWN_RETRY_AFTER_MILLIS = 300;

  /** A request waits for the limiter for its latency objective divided by this at most. */
  private static final int MAX_WAIT_DIVISOR = 3;

  /**
   * Longest wait for the limiter, for routes without a short objective. A relay that starts with
   * all other nodes serves and has claimed the stored levels within about this time.
   */
  private static final long MAX_WAIT_MILLIS = 400;

  private final TenantLimiter limiter;
  private final Time time;

  TenantLimitStep(TenantLimiter limiter, Time time) {
    this.limiter = limiter;
    this.time = time;
  }

  /**
   * Admits or refuses a request, on the event loop of the caller's connection.
   *
   * @param state the request, after the filters
   * @param onAdmitted run if the request may proceed
   * @param onRefused receives the refusal otherwise
   */
  void apply(RequestState state, Runnable onAdmitted, Consumer<Refusal> onRefused) {
    Tenant tenant = state.tenant;
    TenantLimit limit = tenant == null ? null : tenant.limit();
    if (tenant == null || limit == null) {
      onAdmitted.run();
      return;
    }
    double amount = limit.amountOf(state.request.tokens());
    admit(state, tenant.name(), limit, amount)
        .thenAcceptAsync(
            admission -> complete(state, admission, onAdmitted, onRefused),
            state.exchange.eventLoop());
  }

  /**
   * Returns the limiter's decision, or {@link Admission.Unknown} if there is none by the request's
   * deadline. The limiter runs on another event loop, which may be held up.
   */
  private CompletableFuture<Admission> admit(
      RequestState state, String tenant, TenantLimit limit, double amount) {
    CompletableFuture<Admission> decision = new CompletableFuture<>();
    long remaining = Math.max(0, state.deadlineAtMillis() - time.monotonicMillis());
    ScheduledFuture<?> timeout =
        state
            .exchange
            .eventLoop()
            .schedule(
                () -> decision.complete(new Admission.Unknown()), remaining, TimeUnit.MILLISECONDS);
    limiter
        .admit(tenant, limit, amount, maxWaitMillis(state))
        .thenAccept(
            admission -> {
              timeout.cancel(false);
              if (!decision.complete(admission) && admission instanceof Admission.Granted late) {
                limiter.refund(late);
              }
            });
    return decision;
  }

  private static long maxWaitMillis(RequestState state) {
    long objectiveMillis = state.route().latencyObjective().toMillis();
    return Math.min(MAX_WAIT_MILLIS, objectiveMillis / MAX_WAIT_DIVISOR);
  }

  private static void complete(
      RequestState state, Admission admission, Runnable onAdmitted, Consumer<Refusal> onRefused) {
    if (admission instanceof Admission.Granted granted) {
      state.granted = granted;
      onAdmitted.run();
    } else if (admission instanceof Admission.Denied denied) {
      Logger.info(
          "event=tenant-beyond-limit request={} tenant={} retry-after-ms={}",
          state.request.id(),
          state.tenant == null ? "" : state.tenant.name(),
          denied.retryAfterMillis());
      onRefused.accept(
          new Refusal(
              RefusalKind.BEYOND_LIMIT,
              "The tenant exceeds its limit; retry after the given time.",
              denied.retryAfterMillis()));
    } else {
      onRefused.accept(
          new Refusal(
              RefusalKind.UNAVAILABLE,
              "No node could determine whether the tenant is within its limit; try again.",
              UNKNOWN_RETRY_AFTER_MILLIS));
    }
  }

  /** Refunds the amount of a request that was not run and never will be. */
  void refund(RequestState state) {
    Admission.Granted granted = state.granted;
    if (granted != null) {
      state.granted = null;
      limiter.refund(granted);
    }
  }
}
