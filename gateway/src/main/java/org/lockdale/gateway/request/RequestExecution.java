package org.lockdale.gateway.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.gateway.quarantine.part.PartQuarantine;
import org.lockdale.http.HttpReply;
import org.tinylog.Logger;

/**
 * Runs the attempts of one request until it has its final response. Confined to the event loop of
 * the caller's connection.
 */
final class RequestExecution {

  private static final int MAX_CONNECT_FAILURES = 3;

  private static final int MAX_WITHDRAWALS = 6;

  /** An attempt with less time left than this is not worth sending. */
  private static final long MIN_ATTEMPT_MILLIS = 20;

  /**
   * A repeatable request that gets no response is retried at another backend once it has waited for
   * its remaining time divided by this.
   */
  private static final int MAX_SILENCE_DIVISOR = 2;

  /** When a request for which no engine has room is placed again, in milliseconds. */
  private static final long NO_ROOM_MILLIS = 50;

  /** How long the response of another node is awaited after the deadline of a request. */
  private static final long FORWARD_GRACE_MILLIS = 100;

  private final RequestPath path;
  private final RequestState state;
  private final AttemptReporter reporter;
  private final FinalResponse finalResponse;
  private final RequestForwarding forwarding;
  private final RequestPlacement placements;
  private final EngineQueuePlace queuePlace;
  private final RetryRules retries;
  private RequestStep step = new RequestStep.Deciding();
  private @Nullable ScheduledFuture<?> timeout;

  /**
   * Time after which the caller should retry, in milliseconds; null unless rate limits or backoffs
   * of backends determine it.
   */
  private @Nullable Long retryAfterMillis;

  /** Whether the deadline has passed. */
  private boolean timedOut;

  RequestExecution(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
    this.reporter = new AttemptReporter(path, state);
    this.finalResponse = new FinalResponse(path, state);
    this.placements = new RequestPlacement(path, state);
    this.queuePlace = new EngineQueuePlace(path, state);
    this.retries = new RetryRules(path, state);
    this.forwarding = new RequestForwarding(path, state, this::end, this::onForwardLost);
  }

  private void enter(RequestStep next) {
    RequestStep former = step;
    step = next;
    former.leave();
    state.response.close();
  }

  private boolean hasEnded() {
    return step instanceof RequestStep.Ended;
  }

  void start() {
    long remaining = state.deadlineAtMillis() - path.nowMillis();
    timeout =
        state
            .exchange
            .eventLoop()
            .schedule(this::onTimeout, Math.max(0, remaining), TimeUnit.MILLISECONDS);
    state
        .exchange
        .disconnected()
        .thenRunAsync(this::onCallerDisconnected, state.exchange.eventLoop());
    attempt();
  }

  private void attempt() {
    if (path.services().reachability().isUnreachable(state.pool)) {
      if (forwarding.isPossible()) {
        // Where no other node reaches the backends either, this one tries them after all.
        forward(this::place);
        return;
      }
      if (state.receivedFromPeer && state.possibleRuns == 0) {
        end(finalResponse.unreachable("this node can't connect to pool " + state.pool));
        return;
      }
    }
    place();
  }

  private void forward(Runnable onNotServed) {
    enter(new RequestStep.Forwarding(forwarding));
    forwarding.start(onNotServed);
  }

  private void place() {
    CompletableFuture<PlacementResult> placed = placements.place();
    RequestStep placing = new RequestStep.Placing(placed);
    enter(placing);
    if (placed.isDone()) {
      onPlaced(placed.join());
    } else {
      placed.thenAcceptAsync(
          result -> {
            if (step == placing) {
              onPlaced(result);
            }
          },
          state.exchange.eventLoop());
    }
  }

  private void onPlaced(PlacementResult result) {
    if (result instanceof PlacementResult.RetryLater retryLater) {
      waitOrRefuse(retryLater.waitMillis());
      return;
    }
    if (result instanceof PlacementResult.NoRoom) {
      waitOrRefuse(NO_ROOM_MILLIS);
      return;
    }
    if (result instanceof PlacementResult.Refused refused) {
      end(finalResponse.refuse(refused));
      return;
    }
    Optional<Placement> placement = result.placed();
    if (placement.isEmpty() && state.connectFailures > 0) {
      giveUpUnreachable("no backend of pool " + state.pool + " could be connected to");
      return;
    }
    if (placement.isEmpty() || state.deadlineAtMillis() - path.nowMillis() < MIN_ATTEMPT_MILLIS) {
      giveUp("no backend of pool " + state.pool + " is left to try", null);
      return;
    }
    // Checked before each attempt: a request that crashed one backend would crash the next one.
    if (reporter.isQuarantined()) {
      giveUp("backends crashed, or may have crashed, while this request ran", null);
      return;
    }
    recordEstimate(placement.get());
    if (queuePlace.cannotMeetDeadline()) {
      giveUp("too many requests wait at pool " + state.pool, null);
      return;
    }
    send(placement.get());
  }

  private void recordEstimate(Placement placement) {
    state.sharedTokensToCompute = placement.computedTokens();
    state.waitingTokens = placement.waitingTokens();
  }

  /**
   * Handles a request for which all backends that could serve it are at their rate limits or in a
   * backoff. The request waits if it can still meet its objective; otherwise it is refused with a
   * retry time, as it is better served elsewhere or later.
   */
  private void waitOrRefuse(long waitMillis) {
    long now = path.nowMillis();
    if (now + waitMillis <= Math.min(state.waitDeadlineMillis(), state.deadlineAtMillis())) {
      enter(
          new RequestStep.Waiting(
              state
                  .exchange
                  .eventLoop()
                  .schedule(this::attempt, waitMillis, TimeUnit.MILLISECONDS)));
      return;
    }
    retryAfterMillis = waitMillis;
    giveUp("the backends of pool " + state.pool + " accept no requests now", null);
  }

  private void send(Placement placement) {
    TrackedBackend target = placement.target();
    Long weights = placement.weights();
    state.triedBackends.add(target.backend().id());
    state.backend = target.backend().id();
    Runnable onFirstEvent = queuePlace.join();
    Attempt attempt = placements.createAttempt(placement, onFirstEvent, this::onConcluded);
    AttemptMonitor monitor = new AttemptMonitor(state, attempt);
    enter(new RequestStep.Attempting(attempt, monitor));
    path.services().placements().recordOpened(placement);
    reporter.onSending(attempt);
    attempt.start(path.client(), path.pools().maxConnectionsTo(state));
    if (path.services().quarantine().parts().isSuspected(state.request)) {
      monitor.onArrived(PartQuarantine.SURVIVED_MILLIS, () -> reporter.onOutlived(attempt));
    }
    if (state.route().isRepeatable()) {
      monitor.onEngineSilent(() -> onSilent(attempt));
      monitor.onSilence(
          attempt.plan().remainingMillis() / MAX_SILENCE_DIVISOR, () -> onSilent(attempt));
    }
    if (weights != null) {
      monitor.onOutdatedWeights(() -> isOutdated(weights));
    }
  }

  /**
   * Retries the request elsewhere, if it is safe to run it twice and the retry budget allows it.
   */
  private void onSilent(Attempt attempt) {
    if (retries.mayLeaveSilent(attempt)) {
      abandonSilent(attempt);
    }
  }

  private void abandonSilent(Attempt attempt) {
    Logger.info(
        "event=connection-silent request={} backend={} millis={}",
        state.request.id(),
        attempt.target().backend().id(),
        attempt.silentMillis());
    attempt.cancel();
    reporter.onLost(attempt, LostAttempt.Loss.SILENT);
    queuePlace.leave(false);
    attempt.target().health().recordFailure(path.nowMillis());
    path.client().closeIdleConnections(attempt.target().backend().address());
    path.report(attempt.target(), AttemptResult.FAILED);
    state.possibleRuns++;
    attempt();
  }

  private boolean isOutdated(long weights) {
    String model = state.request.model();
    return model != null && path.services().decider().isOutdated(model, weights, path.nowMillis());
  }

  private void onConcluded(Attempt attempt, AttemptResult result) {
    if (!(step instanceof RequestStep.Attempting attempting) || attempting.attempt() != attempt) {
      return;
    }
    enter(new RequestStep.Deciding());
    queuePlace.leave(result == AttemptResult.COMPLETE);
    reporter.onConcluded(attempt, result);
    switch (result) {
      case COMPLETE -> {
        reporter.onAnswered(attempt);
        end(RequestPath.COMPLETE);
      }
      case WITHDRAWN -> onWithdrawn(attempt);
      case NOT_SENT -> onNotSent(attempt);
      case NOT_RUN, MISDIRECTED -> onNotRun(attempt);
      default -> onFailure(attempt, result);
    }
  }

  /**
   * Tries another backend a few times only: once no backend accepts requests, trying each in turn
   * takes time from the requests that run.
   */
  private void onWithdrawn(Attempt attempt) {
    state.withdrawals++;
    if (state.withdrawals < MAX_WITHDRAWALS) {
      attempt();
    } else {
      giveUp(attempt.failure(), null);
    }
  }

  private void onNotSent(Attempt attempt) {
    state.connectFailures++;
    if (state.connectFailures < MAX_CONNECT_FAILURES) {
      attempt();
    } else {
      giveUpUnreachable(attempt.failure());
    }
  }

  /** Lets another node try, which may reach the backends, before the request is given up. */
  private void giveUpUnreachable(String reason) {
    if (forwarding.isPossible()) {
      forward(() -> end(finalResponse.unreachable(reason)));
    } else if (state.possibleRuns == 0 && !state.response.hasStarted()) {
      end(finalResponse.unreachable(reason));
    } else {
      giveUp(reason, null);
    }
  }

  private void onForwardLost(String reason) {
    state.possibleRuns++;
    String message = "the connection to the node that tried it was lost: " + reason;
    if (retries.mayRetryAfterLostNode()) {
      forward(() -> giveUp(message, null));
    } else {
      giveUp(message, null);
    }
  }

  private void onNotRun(Attempt attempt) {
    if (retries.mayRetry()) {
      attempt();
    } else {
      giveUp(attempt.failure(), null);
    }
  }

  private void onFailure(Attempt attempt, AttemptResult result) {
    state.possibleRuns++;
    if (retries.mayRetryAfter(result)) {
      attempt();
    } else {
      giveUp(attempt.failure(), attempt.backendFailureReply());
    }
  }

  private void giveUp(String reason, @Nullable HttpReply backendFailure) {
    end(finalResponse.giveUp(reason, backendFailure, retryAfterMillis));
  }

  private void onTimeout() {
    if (hasEnded()) {
      return;
    }
    if (step instanceof RequestStep.Forwarding && !timedOut) {
      // The other node knows whether the request has run, and responds at the same time.
      timedOut = true;
      timeout =
          state
              .exchange
              .eventLoop()
              .schedule(this::onTimeout, FORWARD_GRACE_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    if (forwarding.cancel()) {
      state.possibleRuns++;
    }
    if (step instanceof RequestStep.Attempting attempting && attempting.attempt().cancel()) {
      Attempt attempt = attempting.attempt();
      reporter.onLost(attempt, LostAttempt.Loss.GIVEN_UP);
      path.workChanged();
      state.possibleRuns++;
      if (!attempt.wasHeldUp()) {
        attempt.target().health().recordFailure(path.nowMillis());
      }
    }
    end(finalResponse.timeOut());
  }

  private void onCallerDisconnected() {
    if (hasEnded()) {
      return;
    }
    if (step instanceof RequestStep.Attempting attempting) {
      if (attempting.attempt().cancel()) {
        reporter.onLost(attempting.attempt(), LostAttempt.Loss.GIVEN_UP);
      }
      path.workChanged();
    }
    end(state.exchange.held().isCutOff() ? "slow-reader-cut" : "caller-left");
  }

  private void end(String outcome) {
    enter(new RequestStep.Ended());
    queuePlace.leave(false);
    reporter.onRequestEnded();
    if (timeout != null) {
      timeout.cancel(false);
    }
    path.ended(state, outcome);
  }
}
