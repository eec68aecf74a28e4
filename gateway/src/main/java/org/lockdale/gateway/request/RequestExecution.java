package org.lockdale.gateway.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CacheTransfer;
import org.lockdale.gateway.cache.PrefixNeed;
import org.lockdale.gateway.cache.PrefixSurvey;
import org.lockdale.gateway.configuration.Tenant;
import org.lockdale.gateway.placement.PlacementRequest;
import org.lockdale.http.HttpReply;
import org.tinylog.Logger;

/**
 * The attempts of one request until it has its final answer. Lives on the event loop of the
 * caller's connection.
 */
final class RequestExecution {

  private static final int MAX_CONNECT_FAILURES = 3;
  private static final long RETRY_AFTER_MILLIS = 250;

  /** A back end that takes no request is left alone for this long. */
  private static final long NOT_RUN_PAUSE_MILLIS = 150;

  /** An attempt with less time than this left is not worth sending. */
  private static final long LEAST_ATTEMPT_MILLIS = 20;

  private static final long WEIGHTS_CHECK_MILLIS = 150;

  private final RequestPath path;
  private final RequestState state;
  private final Map<String, PrefixSurvey> surveys = new HashMap<>();
  private @Nullable Attempt current;
  private @Nullable ScheduledFuture<?> timeout;
  private boolean ended;

  RequestExecution(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
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
    long now = path.nowMillis();
    surveys.clear();
    List<TrackedBackend> candidates = path.candidates(state, now);
    Optional<TrackedBackend> chosen =
        path.chooser()
            .choose(
                new PlacementRequest(
                    state.pool,
                    candidates,
                    state.triedBackends,
                    state.prompt,
                    candidate -> needOf(candidate, candidates, now)),
                now);
    if (chosen.isEmpty() || state.endsAtMillis() - now < LEAST_ATTEMPT_MILLIS) {
      giveUp("no back end of pool " + state.pool + " is left to try", null);
      return;
    }
    send(chosen.get(), candidates, now);
  }

  private void send(TrackedBackend target, List<TrackedBackend> candidates, long now) {
    Long weights = weightsOf(target);
    String namespace = cacheNamespace(weights);
    state.triedBackends.add(target.backend().id());
    state.backend = target.backend().id();
    if (state.prompt != null) {
      PrefixNeed need = needOf(target, candidates, now);
      state.sharedTokensToCompute = need.computed();
    }
    AttemptPlan plan =
        new AttemptPlan(
            target.backend(),
            state.tenant,
            state.endsAtMillis() - now,
            state.priority(),
            namespace,
            weights,
            cacheTransfer(target, candidates, namespace, weights, now),
            state.lastEventId);
    Attempt attempt =
        new Attempt(state, target, plan, path.backendProtocol(), path.time(), this::concluded);
    current = attempt;
    attempt.start(path.client());
    if (weights != null) {
      watchWeights(attempt, weights);
    }
  }

  /** Takes a request back that waits at an engine whose weights become too old to begin on. */
  private void watchWeights(Attempt attempt, long weights) {
    state
        .exchange
        .eventLoop()
        .schedule(
            () -> {
              if (ended || attempt != current || !attempt.isWaiting()) {
                return;
              }
              if (path.isOutdated(state, weights, path.nowMillis())) {
                attempt.abandonWaiting("its weights are out of date");
              } else {
                watchWeights(attempt, weights);
              }
            },
            WEIGHTS_CHECK_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private @Nullable Long weightsOf(TrackedBackend target) {
    String model = state.request.model();
    return model == null ? null : target.weightsOf(model);
  }

  /** Cached prompts are shared within one version of the weights, and one tenant if it is so. */
  private String cacheNamespace(@Nullable Long weights) {
    Tenant tenant = state.tenant;
    String version = weights == null ? "any" : weights.toString();
    return tenant != null && tenant.isolated() ? version + ":" + tenant.name() : version;
  }

  /** Without known weights nothing is moved, since the namespace could hold those of others. */
  private CacheTransfer cacheTransfer(
      TrackedBackend target,
      List<TrackedBackend> candidates,
      String namespace,
      @Nullable Long weights,
      long now) {
    if (weights == null || state.prompt == null) {
      return CacheTransfer.NONE;
    }
    return path.cachePlanner().plan(target, candidates, surveyOf(namespace, candidates, now), now);
  }

  /** Estimates what a candidate would have to compute and to fetch of the prompt. */
  private PrefixNeed needOf(TrackedBackend candidate, List<TrackedBackend> candidates, long now) {
    PrefixSurvey survey = surveyOf(cacheNamespace(weightsOf(candidate)), candidates, now);
    return path.cachePlanner().need(candidate, survey, now);
  }

  /** Surveys each namespace once for an attempt; engines of other weights have another one. */
  private PrefixSurvey surveyOf(String namespace, List<TrackedBackend> candidates, long now) {
    return surveys.computeIfAbsent(
        namespace,
        name -> path.cachePlanner().survey(candidates, name, state.request.promptParts(), now));
  }

  private void concluded(Attempt attempt, AttemptResult result) {
    if (ended || attempt != current) {
      return;
    }
    note(attempt, result);
    switch (result) {
      case COMPLETE -> end(RequestPath.COMPLETE);
      case NOT_SENT -> afterNotSent(attempt);
      case NOT_RUN, MISDIRECTED -> afterNotRun(attempt);
      default -> afterFailure(attempt, result);
    }
  }

  private void note(Attempt attempt, AttemptResult result) {
    long now = path.nowMillis();
    var health = attempt.target().health();
    if (result != AttemptResult.NOT_SENT) {
      state.sends++;
    }
    switch (result) {
      case COMPLETE -> health.succeeded();
      case NOT_SENT -> health.unreachable(now);
      case NOT_RUN -> health.unavailable(now, NOT_RUN_PAUSE_MILLIS);
      case MISDIRECTED -> health.unavailable(now, NOT_RUN_PAUSE_MILLIS);
      default -> health.failed(now);
    }
    if (result != AttemptResult.COMPLETE) {
      Logger.info(
          "event=attempt-failed request={} backend={} result={} reason=\"{}\"",
          state.request.id(),
          attempt.target().backend().id(),
          result,
          attempt.failure());
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
              RETRY_AFTER_MILLIS));
    }
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    Attempt attempt = current;
    if (attempt != null && attempt.cancel()) {
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
      attempt.cancel();
    }
    end("caller-left");
  }

  private void refuse(Refusal refusal) {
    state.exchange.reply(path.render(refusal));
    end(refusal.kind().name());
  }

  private void end(String outcome) {
    ended = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
    path.ended(state, outcome);
  }
}
