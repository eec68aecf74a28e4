package org.lockdale.gateway.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementResult;
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

  private final RequestState state;
  private final RequestTimers timers;
  private final RequestEnvironment environment;
  private final AttemptReports reports;
  private final RequestEnding ending;
  private final RequestForwarding forwarding;
  private final AttemptPlacing placing;
  private final QueuePlace queuePlace;
  private final RetryRules retries;
  private RequestStep step = new RequestStep.Deciding();
  private @Nullable Future<?> timeout;

  /**
   * Time after which the caller should retry, in milliseconds; null unless rate limits or backoffs
   * of backends determine it.
   */
  private @Nullable Long retryAfterMillis;

  /** Whether the deadline has passed. */
  private boolean timedOut;

  RequestExecution(ExecutionPorts ports, RequestState state) {
    this.state = state;
    this.timers = ports.timers();
    this.environment = ports.environment();
    this.reports = ports.reports();
    this.ending = ports.ending();
    this.placing = ports.placing();
    this.queuePlace = ports.queuePlace();
    this.retries = new RetryRules(environment, state);
    this.forwarding =
        new RequestForwarding(timers, ports.peerCalls(), state, this::end, this::onForwardLost);
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
    long remaining = state.deadlineAtMillis() - timers.nowMillis();
    timeout = timers.schedule(this::onTimeout, Math.max(0, remaining));
    environment.onCallerDisconnected(this::onCallerDisconnected);
    attempt();
  }

  private void attempt() {
    if (environment.isPoolUnreachable()) {
      if (forwarding.isPossible()) {
        // Where no other node reaches the backends either, this one tries them after all.
        forward(this::place);
        return;
      }
      if (state.receivedFromPeer && state.possibleRuns == 0) {
        end(ending.unreachable("this node can't connect to pool " + state.pool));
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
    CompletableFuture<PlacementResult> placed = placing.place();
    RequestStep placement = new RequestStep.Placing(placed);
    enter(placement);
    if (placed.isDone()) {
      onPlaced(placed.join());
    } else {
      placed.thenAcceptAsync(
          result -> {
            if (step == placement) {
              onPlaced(result);
            }
          },
          timers);
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
      end(ending.refuse(refused));
      return;
    }
    Optional<Placement> placement = result.placed();
    if (placement.isEmpty() && state.connectFailures > 0) {
      giveUpUnreachable("no backend of pool " + state.pool + " could be connected to");
      return;
    }
    if (placement.isEmpty() || state.deadlineAtMillis() - timers.nowMillis() < MIN_ATTEMPT_MILLIS) {
      giveUp("no backend of pool " + state.pool + " is left to try", null);
      return;
    }
    // Checked before each attempt: a request that crashed one backend would crash the next one.
    if (reports.isQuarantined()) {
      giveUp("backends crashed, or may have crashed, while this request ran", null);
      return;
    }
    if (!state.route().isRepeatable() && !environment.sendsUnrepeatable()) {
      giveUpStopping();
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
    long now = timers.nowMillis();
    if (now + waitMillis <= Math.min(state.waitDeadlineMillis(), state.deadlineAtMillis())) {
      enter(new RequestStep.Waiting(timers.schedule(this::attempt, waitMillis)));
      return;
    }
    retryAfterMillis = waitMillis;
    giveUp("the backends of pool " + state.pool + " accept no requests now", null);
  }

  private void send(Placement placement) {
    Long weights = placement.weights();
    state.backend = placement.target().backend().id();
    state.triedBackends.add(state.backend);
    Runnable onFirstEvent = queuePlace.join();
    RunningAttempt attempt = placing.createAttempt(placement, onFirstEvent, this::onConcluded);
    AttemptMonitor monitor = new AttemptMonitor(timers, state, attempt);
    RequestStep attempting = new RequestStep.Attempting(attempt, monitor);
    enter(attempting);
    placing.recordOpened(placement);
    reports.onSending(attempt);
    environment.recordRetrySent();
    attempt.start();
    if (step != attempting) {
      // It has ended within the call.
      return;
    }
    if (reports.isSuspected()) {
      monitor.onArrived(PartQuarantine.SURVIVED_MILLIS, () -> reports.onOutlived(attempt));
    }
    if (state.route().isRepeatable()) {
      monitor.onEngineSilent(() -> onSilent(attempt));
      monitor.onSilence(
          attempt.plan().remainingMillis() / MAX_SILENCE_DIVISOR, () -> onSilent(attempt));
    }
    if (weights != null) {
      monitor.onOutdatedWeights(() -> environment.isOutdated(weights));
    }
  }

  /**
   * Retries the request elsewhere, if it is safe to run it twice and the retry budget allows it.
   */
  private void onSilent(RunningAttempt attempt) {
    if (retries.mayLeaveSilent(attempt)) {
      abandonSilent(attempt);
    }
  }

  private void abandonSilent(RunningAttempt attempt) {
    Logger.info(
        "event=connection-silent request={} backend={} millis={}",
        state.request.id(),
        attempt.target().backend().id(),
        attempt.silentMillis());
    attempt.cancel();
    queuePlace.leave(false);
    reports.onLeftSilent(attempt);
    state.possibleRuns++;
    attempt();
  }

  private void onConcluded(RunningAttempt attempt, AttemptResult result) {
    if (!(step instanceof RequestStep.Attempting attempting) || attempting.attempt() != attempt) {
      return;
    }
    enter(new RequestStep.Deciding());
    queuePlace.leave(result == AttemptResult.COMPLETE);
    reports.onConcluded(attempt, result);
    switch (result) {
      case COMPLETE -> {
        reports.onAnswered(attempt);
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
  private void onWithdrawn(RunningAttempt attempt) {
    state.withdrawals++;
    if (state.withdrawals < MAX_WITHDRAWALS) {
      attempt();
    } else {
      giveUp(attempt.failure(), null);
    }
  }

  private void onNotSent(RunningAttempt attempt) {
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
      forward(() -> end(ending.unreachable(reason)));
    } else if (state.possibleRuns == 0 && !state.response.hasStarted()) {
      end(ending.unreachable(reason));
    } else {
      giveUp(reason, null);
    }
  }

  private void onForwardLost(String reason) {
    state.possibleRuns++;
    String message = "the node that tried it was lost: " + reason;
    if (!retries.mayRetryAfterLostNode()) {
      giveUp(message, null);
    } else if (environment.isPoolUnreachable()) {
      forward(this::place);
    } else {
      place();
    }
  }

  private void onNotRun(RunningAttempt attempt) {
    if (retries.mayRetry()) {
      attempt();
    } else {
      giveUp(attempt.failure(), null);
    }
  }

  private void onFailure(RunningAttempt attempt, AttemptResult result) {
    state.possibleRuns++;
    if (retries.mayRetryAfter(result)) {
      attempt();
    } else {
      giveUp(attempt.failure(), attempt.backendFailureReply());
    }
  }

  private void giveUp(String reason, @Nullable HttpReply backendFailure) {
    end(ending.giveUp(reason, backendFailure, retryAfterMillis));
  }

  private void giveUpStopping() {
    retryAfterMillis = PhaseFilter.RETRY_AFTER_MILLIS;
    giveUp("this node is stopping", null);
  }

  /** Ends the request, as the node is about to stop. */
  void onNodeStopping() {
    if (!hasEnded()) {
      cancelSends();
      giveUpStopping();
    }
  }

  private void onTimeout() {
    if (hasEnded()) {
      return;
    }
    if (step instanceof RequestStep.Forwarding && !timedOut) {
      // The other node knows whether the request has run, and responds at the same time.
      timedOut = true;
      timeout = timers.schedule(this::onTimeout, FORWARD_GRACE_MILLIS);
      return;
    }
    cancelSends();
    end(ending.timeOut());
  }

  /** Cancels what was sent to a backend or another node, which may have run the request. */
  private void cancelSends() {
    if (forwarding.cancel()) {
      state.possibleRuns++;
    }
    if (step instanceof RequestStep.Attempting attempting && attempting.attempt().cancel()) {
      reports.onTimedOut(attempting.attempt());
      state.possibleRuns++;
    }
  }

  private void onCallerDisconnected() {
    if (hasEnded()) {
      return;
    }
    if (step instanceof RequestStep.Attempting attempting) {
      boolean sent = attempting.attempt().cancel();
      reports.onCallerLeft(attempting.attempt(), sent);
    }
    end(environment.isCallerCutOff() ? "slow-reader-cut" : "caller-left");
  }

  private void end(String outcome) {
    enter(new RequestStep.Ended());
    queuePlace.leave(false);
    reports.onRequestEnded();
    if (timeout != null) {
      timeout.cancel(false);
    }
    environment.ended(outcome);
  }
}
