package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.quarantine.AttemptOutcome;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.quarantine.SuspectAttempt;
import org.tinylog.Logger;

/**
 * Reports what the attempts of one request show about their backends: to health tracking, the
 * quarantine and the observer.
 */
final class AttemptReporter implements AttemptReports {

  private final RequestPath path;
  private final RequestState state;

  /** Suspect attempt that is recorded in the shared store while it runs; null if none. */
  private @Nullable SuspectAttempt recordedAttempt;

  AttemptReporter(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
  }

  @Override
  public void onSending(RunningAttempt attempt) {
    concludeRecorded(AttemptOutcome.NOT_LOST);
    path.services().reachability().recordSent(state.pool);
    String backend = attempt.target().backend().id();
    if (state.response.lastEventId() != null) {
      Logger.info(
          "event=stream-resumed request={} resumes={} in-response={} after={} backend={}"
              + " software-version={}",
          state.request.id(),
          state.request.resumedId(),
          state.response.hasStarted(),
          state.response.lastEventId(),
          backend,
          attempt.target().backend().softwareVersion());
    }
    recordedAttempt =
        path.services()
            .quarantine()
            .attemptStarting(state.request, state.caller(), backend)
            .orElse(null);
  }

  @Override
  public boolean isQuarantined() {
    Quarantine quarantine = path.services().quarantine();
    return !quarantine.mayBeSent(state.request, state.caller())
        || !quarantine.parts().mayBeSent(state.request, state.caller());
  }

  @Override
  public boolean isSuspected() {
    return path.services().quarantine().parts().isSuspected(state.request);
  }

  @Override
  public void onAnswered(RunningAttempt attempt) {
    path.services().quarantine().requestAnswered(state.request, state.caller());
    onOutlived(attempt);
  }

  @Override
  public void onOutlived(RunningAttempt attempt) {
    path.services()
        .quarantine()
        .parts()
        .requestAnswered(state.request, attempt.target().backend().id());
  }

  @Override
  public void onRequestEnded() {
    concludeRecorded(AttemptOutcome.NOT_LOST);
  }

  private void concludeRecorded(AttemptOutcome outcome) {
    SuspectAttempt attempt = recordedAttempt;
    if (attempt != null) {
      recordedAttempt = null;
      path.services().quarantine().attemptConcluded(attempt, outcome);
    }
  }

  @Override
  public void onConcluded(RunningAttempt attempt, AttemptResult result) {
    long now = path.nowMillis();
    state.connection = attempt.connection();
    var health = attempt.target().health();
    if (result == AttemptResult.NOT_SENT || result == AttemptResult.WITHDRAWN) {
      path.services().quarantine().attemptNotSent(state.request, state.caller());
    } else {
      state.sends++;
    }
    switch (result) {
      case COMPLETE -> health.recordSuccess();
      case WITHDRAWN -> path.services().announcements().countWithdrawal();
      case NOT_SENT -> {
        health.recordUnreachable(now);
        path.services().reachability().recordFailure(state.pool, attempt.target().backend().id());
      }
      case NOT_RUN, MISDIRECTED -> health.recordRejection(now);
      default -> {
        if (!isCausedByRequest(attempt) && !attempt.wasHeldUp()) {
          health.recordFailure(now);
        }
      }
    }
    LostAttempt.Loss loss = attempt.loss();
    if (loss != null) {
      onLost(attempt, loss);
    }
    concludeRecorded(AttemptOutcome.NOT_LOST);
    if (result == AttemptResult.MISDIRECTED) {
      path.services()
          .incarnations()
          .misdirected(attempt.target(), state.request.model(), attempt.plan().expectedWeights());
    }
    boolean heldUp = result != AttemptResult.COMPLETE && attempt.wasHeldUp();
    if (heldUp || isCausedByRequest(attempt)) {
      path.workChanged();
    } else {
      path.report(attempt.target(), result);
    }
    if (result != AttemptResult.COMPLETE) {
      Logger.info(
          "event=attempt-failed request={} backend={} software-version={} connection={} result={}"
              + " reason=\"{}\"",
          state.request.id(),
          attempt.target().backend().id(),
          attempt.target().backend().softwareVersion(),
          attempt.connection(),
          result,
          attempt.failure());
    }
  }

  @Override
  public void onLeftSilent(RunningAttempt attempt) {
    onLost(attempt, LostAttempt.Loss.SILENT);
    attempt.target().health().recordFailure(path.nowMillis());
    path.client().closeIdleConnections(attempt.target().backend().address());
    path.report(attempt.target(), AttemptResult.FAILED);
  }

  @Override
  public void onTimedOut(RunningAttempt attempt) {
    onLost(attempt, LostAttempt.Loss.GIVEN_UP);
    path.workChanged();
    if (!attempt.wasHeldUp()) {
      attempt.target().health().recordFailure(path.nowMillis());
    }
  }

  @Override
  public void onCallerLeft(RunningAttempt attempt, boolean sent) {
    if (sent) {
      onLost(attempt, LostAttempt.Loss.GIVEN_UP);
    }
    path.workChanged();
  }

  /**
   * Reports that the connection of an attempt was lost: the backend may have crashed, and this
   * request may be the cause.
   */
  private void onLost(RunningAttempt attempt, LostAttempt.Loss loss) {
    concludeRecorded(
        loss == LostAttempt.Loss.CLOSED ? AttemptOutcome.REPORTED : AttemptOutcome.UNKNOWN);
    path.services()
        .quarantine()
        .attemptLost(
            new LostAttempt(
                attempt.target().backend().id(),
                attempt.target().backend().address(),
                state.request,
                state.caller(),
                attempt.responseMillis(),
                loss,
                attempt.connectedAtMillis(),
                attempt.responded(),
                attempt.responseSilentMillis()));
  }

  /**
   * Returns whether a backend responded with a failure after another one had failed too, which is
   * attributed to the request rather than to the backend. If these counted against backends, those
   * that receive mostly retries would seem to fail more often than others: 65 to 94% of a service's
   * requests then went to one of three backends.
   */
  private boolean isCausedByRequest(RunningAttempt attempt) {
    return state.possibleRuns > 0 && attempt.backendFailureReply() != null;
  }
}
