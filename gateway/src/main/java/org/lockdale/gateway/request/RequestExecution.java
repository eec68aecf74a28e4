package org.lockdale.gateway.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CacheNamespace;
import org.lockdale.gateway.configuration.Tenant;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.http.HttpReply;
import org.tinylog.Logger;

/**
 * The attempts of one request until it has its final answer. Lives on the event loop of the
 * caller's connection.
 */
final class RequestExecution {

  private static final int MAX_CONNECT_FAILURES = 3;

  private static final int MAX_WITHDRAWALS = 6;

  /** An attempt with less time than this left is not worth sending. */
  private static final long LEAST_ATTEMPT_MILLIS = 20;

  /** Part of the time left after which an answer that has not begun is asked for elsewhere. */
  private static final int SILENT_PART = 2;

  private final RequestPath path;
  private final RequestState state;
  private final AttemptNotes notes;
  private @Nullable Attempt current;
  private QueueForecast.@Nullable Place queued;
  private @Nullable ScheduledFuture<?> timeout;
  private boolean ended;

  /** When the caller is to come back, in milliseconds, where rates of back ends tell. */
  private @Nullable Long comeBackMillis;

  RequestExecution(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
    this.notes = new AttemptNotes(path, state);
  }

  void start() {
    long remaining = state.endsAtMillis() - path.nowMillis();
    timeout =
        state
            .exchange
            .eventLoop()
            .schedule(this::timedOut, Math.max(0, remaining), TimeUnit.MILLISECONDS);
    state.exchange.disconnected().thenRunAsync(this::callerLeft, state.exchange.eventLoop());
    attempt();
  }

  private void attempt() {
    CompletableFuture<PlacementResult> placed = path.placements().place(query());
    if (placed.isDone()) {
      placed(placed.join());
    } else {
      placed.thenAcceptAsync(this::placed, state.exchange.eventLoop());
    }
  }

  private PlacementQuery query() {
    return new PlacementQuery(
        state.pool,
        path.zone(),
        state.request.model(),
        isolatedTenant(),
        state.request.promptParts(),
        state.triedBackends);
  }

  private void placed(PlacementResult result) {
    if (ended) {
      return;
    }
    if (result instanceof PlacementResult.NotNow notNow) {
      notNow(notNow.waitMillis());
      return;
    }
    Optional<Placement> placement = result.placed();
    if (placement.isEmpty() || state.endsAtMillis() - path.nowMillis() < LEAST_ATTEMPT_MILLIS) {
      giveUp("no back end of pool " + state.pool + " is left to try", null);
      return;
    }
    // Also before a further attempt: what ended the first back end would end the next one.
    if (path.quarantine().held(state.request, state.caller()).isPresent()) {
      giveUp("back ends ended each time this request ran", null);
      return;
    }
    estimate(placement.get());
    boolean isFirst = state.possibleRuns == 0 && !state.answerStarted;
    if (isFirst && path.waits().isHopeless(state)) {
      giveUp("too much waits at pool " + state.pool, null);
      return;
    }
    send(placement.get());
  }

  private void estimate(Placement placement) {
    state.sharedTokensToCompute = placement.computedTokens();
    state.waitingTokens = placement.waitingTokens();
  }

  /**
   * Back ends that name rates take no more for a time. A request that can still be in time waits;
   * one that can't is better off elsewhere or later, and is told when.
   */
  private void notNow(long waitMillis) {
    long now = path.nowMillis();
    if (now + waitMillis <= Math.min(state.waitsUntilMillis(), state.endsAtMillis())) {
      state
          .exchange
          .eventLoop()
          .schedule(
              () -> {
                if (!ended) {
                  attempt();
                }
              },
              waitMillis,
              TimeUnit.MILLISECONDS);
      return;
    }
    comeBackMillis = waitMillis;
    giveUp("the back ends of pool " + state.pool + " take no more requests now", null);
  }

  private void send(Placement placement) {
    TrackedBackend target = placement.target();
    Long weights = placement.weights();
    state.triedBackends.add(target.backend().id());
    state.backend = target.backend().id();
    state.deferred = path.waits().wouldBeLate(state);
    QueueForecast.Place place = path.waits().sent(state);
    queued = place;
    long sentAtMillis = path.nowMillis();
    AttemptPlan plan =
        new AttemptPlan(
            target.backend(),
            state.tenant,
            state.endsAtMillis() - path.nowMillis(),
            state.priority(),
            CacheNamespace.of(weights, isolatedTenant()),
            weights,
            placement.transfer(),
            state.lastEventId);
    Attempt attempt =
        new Attempt(
            state,
            target,
            plan,
            path.backendProtocol(),
            path.rates(),
            path.statements(),
            path.lifeEvidence(),
            path.time(),
            () -> begun(place, sentAtMillis),
            this::concluded);
    current = attempt;
    path.placements().opened(placement);
    notes.sending(attempt);
    attempt.start(path.client(), path.mostConnections(state));
    AttemptWatch watch = new AttemptWatch(state, attempt, () -> !ended && attempt == current);
    if (state.route().isRepeatable()) {
      watch.onSilence(plan.remainingMillis() / SILENT_PART, () -> silent(attempt));
    }
    if (weights != null) {
      watch.onOutdatedWeights(() -> isOutdated(weights));
    }
  }

  private void begun(QueueForecast.Place place, long sentAtMillis) {
    place.begin();
    path.waits().begun(state, sentAtMillis);
    path.workChanged();
  }

  /** The request is sent again only where it may run twice and the budget allows it. */
  private void silent(Attempt attempt) {
    if (hasResumePoint(attempt) && mayRetryAfterAnotherRun()) {
      leaveSilent(attempt);
    }
  }

  private boolean hasResumePoint(Attempt attempt) {
    return attempt.isWaiting() || state.lastEventId != null;
  }

  private boolean mayRetryAfterAnotherRun() {
    return state.possibleRuns + 1 < state.route().maxAttempts()
        && path.hasUntried(state)
        && path.budget().tryRetry(state.pool, path.nowMillis());
  }

  private void leaveSilent(Attempt attempt) {
    Logger.info(
        "event=connection-silent request={} backend={} millis={}",
        state.request.id(),
        attempt.target().backend().id(),
        attempt.silentMillis());
    attempt.cancel();
    notes.lost(attempt, LostAttempt.Loss.SILENT);
    leaveQueue(false);
    attempt.target().health().failed(path.nowMillis());
    path.client().forget(attempt.target().backend().address());
    path.report(attempt.target(), AttemptResult.FAILED);
    state.possibleRuns++;
    attempt();
  }

  private boolean isOutdated(long weights) {
    String model = state.request.model();
    return model != null && path.decider().isOutdated(model, weights, path.nowMillis());
  }

  /** Cached prompts of an isolated tenant are not shared with others. */
  private @Nullable String isolatedTenant() {
    Tenant tenant = state.tenant;
    return tenant != null && tenant.isolated() ? tenant.name() : null;
  }

  private void concluded(Attempt attempt, AttemptResult result) {
    if (ended || attempt != current) {
      return;
    }
    leaveQueue(result == AttemptResult.COMPLETE);
    notes.concluded(attempt, result);
    switch (result) {
      case COMPLETE -> {
        path.quarantine().answered(state.request, state.caller());
        end(RequestPath.COMPLETE);
      }
      case WITHDRAWN -> afterWithdrawn(attempt);
      case NOT_SENT -> afterNotSent(attempt);
      case NOT_RUN, MISDIRECTED -> afterNotRun(attempt);
      default -> afterFailure(attempt, result);
    }
  }

  private void leaveQueue(boolean served) {
    QueueForecast.Place place = queued;
    if (place != null && served) {
      place.begin();
    } else if (place != null) {
      place.leave();
    }
  }

  /** Where all are at their limits, to ask one after the other takes time from those that run. */
  private void afterWithdrawn(Attempt attempt) {
    state.withdrawals++;
    if (state.withdrawals < MAX_WITHDRAWALS) {
      attempt();
    } else {
      giveUp(attempt.failure(), null);
    }
  }

  private void afterNotSent(Attempt attempt) {
    state.connectFailures++;
    if (state.connectFailures < MAX_CONNECT_FAILURES) {
      attempt();
    } else {
      giveUp(attempt.failure(), null);
    }
  }

  private void afterNotRun(Attempt attempt) {
    if (mayRetry()) {
      attempt();
    } else {
      giveUp(attempt.failure(), null);
    }
  }

  private void afterFailure(Attempt attempt, AttemptResult result) {
    state.possibleRuns++;
    if (state.route().isRepeatable() && hasResumePoint(result) && mayRetry()) {
      attempt();
    } else {
      giveUp(attempt.failure(), attempt.ownFailureReply());
    }
  }

  /** A stream can only be continued after an event that has an id. */
  private boolean hasResumePoint(AttemptResult result) {
    return result != AttemptResult.BROKEN_OFF || state.lastEventId != null;
  }

  private boolean mayRetry() {
    return state.possibleRuns < state.route().maxAttempts()
        && path.budget().tryRetry(state.pool, path.nowMillis());
  }

  private void giveUp(String reason, @Nullable HttpReply ownFailure) {
    if (state.answerStarted) {
      state.exchange.abort();
      end("broken-off");
    } else if (ownFailure != null) {
      state.exchange.reply(ownFailure);
      end("backend-error");
    } else if (state.possibleRuns > 0) {
      refuse(Refusal.of(RefusalKind.BACKEND_FAILED, "The back end failed: " + reason + "."));
    } else {
      refuse(
          new Refusal(
              RefusalKind.UNAVAILABLE,
              "The request was not run: " + reason + ".",
              comeBackMillis == null ? path.comeBackMillis(state) : comeBackMillis));
    }
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    Attempt attempt = current;
    if (attempt != null && attempt.cancel()) {
      notes.lost(attempt, LostAttempt.Loss.GIVEN_UP);
      path.workChanged();
      state.possibleRuns++;
      attempt.target().health().failed(path.nowMillis());
    }
    if (state.answerStarted) {
      state.exchange.abort();
      end("timed-out");
    } else if (state.possibleRuns == 0) {
      giveUp("its time ran out", null);
    } else {
      refuse(Refusal.of(RefusalKind.TIMED_OUT, "The request's time ran out."));
    }
  }

  private void callerLeft() {
    if (ended) {
      return;
    }
    Attempt attempt = current;
    if (attempt != null) {
      if (attempt.cancel()) {
        notes.lost(attempt, LostAttempt.Loss.GIVEN_UP);
      }
      path.workChanged();
    }
    end("caller-left");
  }

  private void refuse(Refusal refusal) {
    state.exchange.reply(path.render(refusal));
    if (refusal.kind().isNotRun()) {
      path.notRun(state);
    }
    end(refusal.kind().name());
  }

  private void end(String outcome) {
    ended = true;
    leaveQueue(false);
    notes.ended();
    if (timeout != null) {
      timeout.cancel(false);
    }
    path.ended(state, outcome);
  }
}
