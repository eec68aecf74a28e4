package org.lockdale.router.request;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.http.HttpExchange;
import org.lockdale.openai.CompletionRequest;
import org.lockdale.openai.Outcome;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.limit.CapacityQueue;
import org.lockdale.router.limit.TenantUsageTable;
import org.lockdale.router.request.RequestStep.Next;
import org.tinylog.Logger;

/**
 * The path of a request from its arrival to its end. First come the steps that can only let it go
 * on or refuse it: authentication, parsing, labelling, routing, the tenant's limits. Then attempts:
 * placement, claim, dispatch, and again at another engine where the first one did not run it.
 */
public final class RequestPath {

  private final Blackboard blackboard;
  private final List<RequestStep> entrySteps;
  private final TenantLimitStep limits;
  private final PlacementStep placement;
  private final ClaimStep claim;
  private final DispatchStep dispatch;
  private final ClaimFinisher claimFinisher;
  private final CapacityQueue queue;
  private final TenantUsageTable usage;
  private final RequestRecorder recorder;
  private final int maxRetries;

  RequestPath(RequestPathBuilder builder) {
    blackboard = builder.blackboard;
    limits = new TenantLimitStep(builder.usage, builder.time);
    entrySteps =
        List.of(
            new AuthenticationStep(),
            new ParsingStep(),
            new LabellingStep(builder.zone),
            new RoutingStep(builder.defaultDeadline),
            limits);
    placement =
        new PlacementStep(
            builder.blackboard,
            builder.prefixes,
            builder.queue,
            new DrainRate(),
            builder.zone,
            builder.time);
    claimFinisher = new ClaimFinisher(builder.claims, builder.eventLoops);
    claim =
        new ClaimStep(
            builder.claims,
            claimFinisher,
            builder.engineClient,
            builder.blackboard,
            builder.nodeId,
            builder.time);
    dispatch =
        new DispatchStep(
            builder.engineClient, builder.prefixes, builder.time, builder.tokenTimeout.toMillis());
    queue = builder.queue;
    usage = builder.usage;
    recorder = builder.recorder;
    maxRetries = builder.maxRetries;
  }

  /** Serves a completion request. */
  public void serve(HttpExchange exchange, CompletionRequest.Kind kind) {
    RequestContext context =
        new RequestContext(
            exchange, UUID.randomUUID().toString(), blackboard.policies().value(), kind);
    recorder.started();
    exchange.disconnected().thenRunAsync(() -> context.callerLeft = true, exchange.eventLoop());
    enter(context)
        .thenCompose(
            next ->
                next == Next.ANSWERED
                    ? CompletableFuture.completedFuture(Outcome.COMPLETE)
                    : attempt(context, new AnswerSink(context)))
        .whenComplete((outcome, failure) -> end(context, outcome, failure));
  }

  private CompletableFuture<Next> enter(RequestContext context) {
    CompletableFuture<Next> path = RequestStep.CONTINUE;
    for (RequestStep step : entrySteps) {
      path = path.thenCompose(next -> step.apply(context));
    }
    return path;
  }

  private CompletableFuture<Outcome> attempt(RequestContext context, AnswerSink sink) {
    context.attempts++;
    context.attemptId = context.requestId + "-" + context.attempts;
    return placement
        .apply(context)
        .thenCompose(
            next -> next == Next.ANSWERED ? RequestStep.ANSWERED : claimOrGiveBack(context))
        .thenCompose(
            next ->
                next == Next.ANSWERED
                    ? CompletableFuture.completedFuture(Outcome.COMPLETE)
                    : dispatch
                        .dispatch(context, sink)
                        .thenCompose(result -> conclude(context, sink, result)));
  }

  /** Where the claim is not granted, the place that was taken at the engine is given back. */
  private CompletableFuture<Next> claimOrGiveBack(RequestContext context) {
    CompletableFuture<Next> claimed;
    try {
      claimed = claim.apply(context);
    } catch (RequestException refused) {
      claimed = CompletableFuture.failedFuture(refused);
    }
    return claimed.whenComplete(
        (next, failure) -> {
          if (failure != null || next == Next.ANSWERED) {
            context.placement.engine().activity().ended();
          }
        });
  }

  private CompletableFuture<Outcome> conclude(
      RequestContext context, AnswerSink sink, AttemptResult result) {
    if (result instanceof AttemptResult.Complete) {
      finishClaim(context, sink);
      if (context.attempts == 1) {
        usage.of(context.tenant.name()).retryBudget().succeeded();
      }
      return CompletableFuture.completedFuture(Outcome.COMPLETE);
    }
    if (result instanceof AttemptResult.NotStarted notStarted) {
      context.enter(RequestStage.REFUSED_BY_ENGINE);
      context.excludedEngines.add(context.engineId());
      if (mayTryAgain(context)) {
        return attempt(context, sink);
      }
      releaseClaim(context);
      throw notStarted(context, notStarted.reason());
    }
    if (result instanceof AttemptResult.Failed failed) {
      context.mayHaveRun = true;
      boolean repeatable = !context.isRunOnce();
      context.excludedEngines.add(context.engineId());
      if (repeatable && mayTryAgain(context)) {
        return attempt(context, sink);
      }
      markClaimUnknown(context);
      throw RequestException.of(
          ErrorKind.ENGINE_FAILED, "The engine failed: " + failed.reason() + ".");
    }
    markClaimUnknown(context);
    throw brokenOff(context, sink, result);
  }

  private boolean mayTryAgain(RequestContext context) {
    return context.attempts <= maxRetries
        && !context.callerLeft
        && context.millisToDeadline() > 0
        && usage.of(context.tenant.name()).retryBudget().tryRetry();
  }

  private static RequestException notStarted(RequestContext context, String reason) {
    ErrorKind kind =
        context.millisToDeadline() <= 0 ? ErrorKind.DEADLINE_EXPIRED : ErrorKind.OVERLOADED;
    return RequestException.builder(kind, "No engine started the request: " + reason + ".")
        .outcome(Outcome.NOT_RUN)
        .build();
  }

  private static RequestException brokenOff(
      RequestContext context, AnswerSink sink, AttemptResult result) {
    RequestException error;
    if (result instanceof AttemptResult.BrokenOff broken) {
      error =
          RequestException.of(
              ErrorKind.ENGINE_FAILED, "The answer broke off: " + broken.reason() + ".");
    } else {
      String reason = ((AttemptResult.GivenUp) result).reason();
      error =
          RequestException.builder(
                  ErrorKind.DEADLINE_EXPIRED, "The request was given up: " + reason + ".")
              .outcome(Outcome.UNKNOWN)
              .build();
    }
    if (sink.hasStarted()) {
      sink.breakOff(error);
    }
    return error;
  }

  private void finishClaim(RequestContext context, AnswerSink sink) {
    if (context.claim == null) {
      return;
    }
    byte[] answer = sink.keptAnswer();
    if (answer == null) {
      claimFinisher.complete(context.claim, 0, "", new byte[0]);
    } else {
      claimFinisher.complete(context.claim, 200, sink.contentType(), answer);
    }
  }

  private void releaseClaim(RequestContext context) {
    if (context.claim != null) {
      claimFinisher.release(context.claim);
    }
  }

  private void markClaimUnknown(RequestContext context) {
    if (context.claim != null) {
      claimFinisher.markUnknown(context.claim);
    }
  }

  private void end(RequestContext context, Outcome outcome, Throwable failure) {
    limits.release(context);
    context.enter(RequestStage.ENDED);
    if (failure == null) {
      recorder.ended(context, outcome, "");
    } else {
      RequestException error = errorOf(failure);
      if (context.mayHaveRun && error.outcome() == Outcome.NOT_RUN) {
        // The last attempt did not run, but the request may have.
        error = error.withOutcome(Outcome.UNKNOWN);
      }
      context.exchange.reply(error.toReply(context.requestId));
      recorder.ended(context, error.outcome(), error.kind().code());
    }
    queue.drain();
  }

  private static RequestException errorOf(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    if (cause instanceof RequestException known) {
      return known;
    }
    Logger.error(cause, "event=request-failed");
    return RequestException.of(ErrorKind.INTERNAL, "The node failed.");
  }

  /** Returns how many ends of claims are still to be written. */
  public int pendingClaimEnds() {
    return claimFinisher.pendingCount();
  }
}
