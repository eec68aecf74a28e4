package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.gateway.quarantine.SuspectAttempt;
import org.tinylog.Logger;

/** Passes on what the attempts of one request show of their back ends. */
final class AttemptNotes {

  private final RequestPath path;
  private final RequestState state;

  /** Attempt that is on record while it is under way; null for none. */
  private @Nullable SuspectAttempt recorded;

  AttemptNotes(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
  }

  /** Notes that an attempt is about to be sent. */
  void sending(Attempt attempt) {
    unrecord(false);
    String backend = attempt.target().backend().id();
    recorded = path.quarantine().sending(state.request, state.caller(), backend).orElse(null);
  }

  /** Notes that the request has ended, with whatever attempt was under way. */
  void ended() {
    unrecord(false);
  }

  private void unrecord(boolean doubtful) {
    SuspectAttempt attempt = recorded;
    if (attempt != null) {
      recorded = null;
      path.quarantine().concluded(attempt, doubtful);
    }
  }

  /** Notes how an attempt ended. */
  void concluded(Attempt attempt, AttemptResult result) {
    long now = path.nowMillis();
    var health = attempt.target().health();
    if (result != AttemptResult.NOT_SENT && result != AttemptResult.WITHDRAWN) {
      state.sends++;
    }
    switch (result) {
      case COMPLETE -> health.succeeded();
      case WITHDRAWN -> path.statements().withdrawn();
      case NOT_SENT -> health.unreachable(now);
      case NOT_RUN, MISDIRECTED -> health.rejected(now);
      default -> {
        if (!isOwnOfRequest(attempt)) {
          health.failed(now);
        }
      }
    }
    LostAttempt.Loss loss = attempt.loss();
    if (loss != null) {
      lost(attempt, loss);
    }
    unrecord(false);
    if (result == AttemptResult.MISDIRECTED) {
      path.lives()
          .misdirected(attempt.target(), state.request.model(), attempt.plan().expectedWeights());
    }
    if (isOwnOfRequest(attempt)) {
      path.workChanged();
    } else {
      path.report(attempt.target(), result);
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

  /** The back end may have ended, and this request may be the cause. */
  void lost(Attempt attempt, LostAttempt.Loss loss) {
    unrecord(true);
    path.quarantine()
        .lost(
            new LostAttempt(
                attempt.target().backend().id(),
                attempt.target().backend().address(),
                state.request,
                state.caller(),
                attempt.answerMillis(),
                loss,
                attempt.connectedAtMillis()));
  }

  /**
   * Returns whether a back end answered with a failure after another one had failed too, which
   * tells of the request rather than of the back end. Where these counted, the back ends that got
   * only repeats seemed to fail most, and 65 to 94% of a service's requests went to one of three.
   */
  private boolean isOwnOfRequest(Attempt attempt) {
    return state.possibleRuns > 0 && attempt.ownFailureReply() != null;
  }
}
