package org.lockdale.router.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;
import org.lockdale.router.engine.AttemptMessage;
import org.lockdale.router.engine.EngineActivity;
import org.lockdale.router.engine.EngineClient;
import org.lockdale.router.placement.PrefixIndex;

/** Sends a placed request to its engine and relays the response. */
final class DispatchStep {

  private final EngineClient engines;
  private final PrefixIndex prefixes;
  private final Time time;
  private final long tokenTimeoutMillis;

  DispatchStep(EngineClient engines, PrefixIndex prefixes, Time time, long tokenTimeoutMillis) {
    this.engines = engines;
    this.prefixes = prefixes;
    this.time = time;
    this.tokenTimeoutMillis = tokenTimeoutMillis;
  }

  CompletableFuture<AttemptResult> dispatch(RequestContext context, ResponseSink sink) {
    EngineActivity activity = context.placement.engine().activity();
    if (context.callerDisconnected && !context.isRunOnce()) {
      activity.recordEnd();
      return CompletableFuture.completedFuture(
          new AttemptResult.NotStarted("the caller disconnected before the request was sent"));
    }
    EngineAttempt attempt =
        new EngineAttempt(context, engines, messageOf(context), sink, tokenTimeoutMillis);
    CompletableFuture<AttemptResult> result = attempt.start();
    var deadline =
        context
            .exchange
            .eventLoop()
            .schedule(
                () -> attempt.cancel("the deadline passed"),
                Math.max(0, context.millisToDeadline()),
                TimeUnit.MILLISECONDS);
    if (!context.isRunOnce()) {
      // A request with an idempotency key continues: its caller can repeat it for the result.
      context
          .exchange
          .disconnected()
          .thenRunAsync(
              () -> attempt.cancel("the caller disconnected"), context.exchange.eventLoop());
    }
    return result.whenComplete(
        (attemptResult, failure) -> {
          deadline.cancel(false);
          activity.recordEnd();
          recordResult(context, activity, attemptResult);
        });
  }

  private void recordResult(
      RequestContext context, EngineActivity activity, AttemptResult attemptResult) {
    long now = time.monotonicMillis();
    if (attemptResult instanceof AttemptResult.Complete) {
      activity.recordSuccess();
      prefixes.recordStored(context.chain, context.placement.engine().identity(), now);
    } else if (!(attemptResult instanceof AttemptResult.Cancelled)) {
      activity.recordFailure(now);
    }
  }

  private static AttemptMessage messageOf(RequestContext context) {
    return new AttemptMessage(
        context.attemptId,
        context.kind.path(),
        context.exchange.body(),
        context.request.model(),
        context.kind.name(),
        context.tenant.name(),
        context.weightsVersion,
        context.cacheSalt,
        context.route.priority().level());
  }
}
