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
 * Processes a request from its arrival to its end. The entry steps let it continue or reject it:
 * authentication, parsing, labelling, routing, the tenant's limits. Then come the attempts, each of
 * placement, claim and dispatch. An attempt that did not run is repeated at another engine within
 * the limits on retries; so is a failed one that may have run, if the request has no idempotency
 * key.
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
    recorder.recordStart();
    exchange
        .disconnected()
        .thenRunAsync(() -> context.callerDisconnected = true, exchange.eventLoop());
    runEntrySteps(context)
        .thenCompose(
            next ->
                next == Next.ANSWERED
                    ? CompletableFuture.completedFuture(Outcome.COMPLETE)
                    : attempt(context, new ResponseSink(context)))
        .whenComplete((outcome, failure) -> finish(context, outcome, failure));
  }

  private CompletableFuture<Next> runEntrySteps(RequestContext context) {
    CompletableFuture<Next> path = RequestStep.CONTINUE;
    for (RequestStep step : entrySteps) {
      path = path.thenCompose(next -> step.apply(context));
    }
    return path;
  }

  private CompletableFuture<Outcome> attempt(RequestContext context, ResponseSink sink) {
    context.attempts++;
    context.attemptId = context.requestId + "-" + context.attempts;
    return placement
        .apply(context)
        .thenCompose(
            next -> next == Next.ANSWERED ? RequestStep.ANSWERED : claimOrReleaseEngine(context))
        .thenCompose(
            next ->
                next == Next.ANSWERED
                    ? CompletableFuture.completedFuture(Outcome.COMPLETE)
                    : dispatch
                        .dispatch(context, sink)
                        .thenCompose(result -> handleResult(context, sink, result)));
  }

  /**
   * Acquires the claim. If it is not granted, the request no longer counts as in flight at the
   * engine.
   */
  private CompletableFuture<Next> claimOrReleaseEngine(RequestContext context) {
    CompletableFuture<Next> claimed;
    try {
      claimed = claim.apply(context);
    } catch (RequestException rejected) {
      claimed = CompletableFuture.failedFuture(rejected);
    }
    return claimed.whenComplete(
        (next, failure) -> {
          if (failure != null || next == Next.ANSWERED) {
            context.placement.engine().activity().recordEnd();
          }
        });
  }

  private CompletableFuture<Outcome> handleResult(
      RequestContext context, ResponseSink sink, AttemptResult result) {
    if (result instanceof AttemptResult.Complete) {
      finishClaim(context, sink);
      if (context.attempts == 1) {
        usage.of(context.tenant.name()).retryBudget().recordSuccess();
      }
      return CompletableFuture.completedFuture(Outcome.COMPLETE);
    }
    if (result instanceof AttemptResult.NotStarted notStarted) {
      context.enter(RequestStage.REFUSED_BY_ENGINE);
      context.excludedEngines.add(context.engineId());
      if (mayRetry(context)) {
        return attempt(context, sink);
      }
      releaseClaim(context);
      throw notStartedError(context, notStarted.reason());
    }
    if (result instanceof AttemptResult.Failed failed) {
      context.mayHaveRun = true;
      boolean retrySafe = !context.isRunOnce();
      context.excludedEngines.add(context.engineId());
      if (retrySafe && mayRetry(context)) {
        return attempt(context, sink);
      }
      markClaimUnknown(context);
      throw RequestException.of(
          ErrorKind.ENGINE_FAILED, "The engine failed: " + failed.reason() + ".");
    }
    markClaimUnknown(context);
    throw abortResponse(context, sink, result);
  }

  private boolean mayRetry(RequestContext context) {
    return context.attempts <= maxRetries
        && !context.callerDisconnected
        && context.millisToDeadline() > 0
        && usage.of(context.tenant.name()).retryBudget().tryRetry();
  }

  private static RequestException notStartedError(RequestContext context, String reason) {
    ErrorKind kind =
        context.millisToDeadline() <= 0 ? ErrorKind.DEADLINE_EXPIRED : ErrorKind.OVERLOADED;
    return RequestException.builder(kind, "No engine started the request: " + reason + ".")
        .outcome(Outcome.NOT_RUN)
        .build();
  }

  private static RequestException abortResponse(
      RequestContext context, ResponseSink sink, AttemptResult result) {
    RequestException error;
    if (result instanceof AttemptResult.Interrupted interrupted) {
      error =
          RequestException.of(
              ErrorKind.ENGINE_FAILED,
              "The response was interrupted: " + interrupted.reason() + ".");
    } else {
      String reason = ((AttemptResult.Cancelled) result).reason();
      error =
          RequestException.builder(
                  ErrorKind.DEADLINE_EXPIRED, "The request was cancelled: " + reason + ".")
              .outcome(Outcome.UNKNOWN)
              .build();
    }
    if (sink.hasStarted()) {
      sink.abort(error);
    }
    return error;
  }

  private void finishClaim(RequestContext context, ResponseSink sink) {
    if (context.claim == null) {
      return;
    }
    byte[] response = sink.responseCopy();
    if (response == null) {
      claimFinisher.complete(context.claim, 0, "", new byte[0]);
    } else {
      claimFinisher.complete(context.claim, 200, sink.contentType(), response);
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

  private void finish(RequestContext context, Outcome outcome, Throwable failure) {
    limits.release(context);
    context.enter(RequestStage.ENDED);
    if (failure == null) {
      recorder.recordEnd(context, outcome, "");
    } else {
      RequestException error = errorOf(failure);
      if (context.mayHaveRun && error.outcome() == Outcome.NOT_RUN) {
        // The last attempt did not run, but an earlier one may have.
        error = error.withOutcome(Outcome.UNKNOWN);
      }
      context.exchange.reply(error.toReply(context.requestId));
      recorder.recordEnd(context, error.outcome(), error.kind().code());
    }
    queue.drain();
  }

  private static RequestException errorOf(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    if (cause instanceof RequestException known) {
      return known;
    }
    Logger.error(cause, "event=request-failed");
    return RequestException.of(ErrorKind.INTERNAL, "The node had an internal error.");
  }

  /** Returns the number of final states of claims still to be written. */
  public int pendingClaimEnds() {
    return claimFinisher.pendingCount();
  }
}
