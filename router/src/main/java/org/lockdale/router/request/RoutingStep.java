package org.lockdale.router.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.policy.Priority;

/** Finds the first route whose selector matches the request's labels. */
final class RoutingStep implements RequestStep {

  private final Duration defaultDeadline;

  RoutingStep(Duration defaultDeadline) {
    this.defaultDeadline = defaultDeadline;
  }

  @Override
  public CompletableFuture<Next> apply(RequestContext context) {
    context.route =
        context
            .policies
            .routeOf(context.labels)
            .orElseThrow(
                () ->
                    RequestException.of(
                        ErrorKind.NO_ROUTE, "No route matches the labels of the request."));
    if (context.deadlineNanos == Long.MAX_VALUE) {
      context.deadlineNanos =
          context.exchange.receivedNanos() + deadlineOf(context.route.priority());
    }
    context.enter(RequestStage.ROUTED);
    return CONTINUE;
  }

  private long deadlineOf(Priority priority) {
    return priority.deadlineMillis() > 0
        ? TimeUnit.MILLISECONDS.toNanos(priority.deadlineMillis())
        : defaultDeadline.toNanos();
  }
}
