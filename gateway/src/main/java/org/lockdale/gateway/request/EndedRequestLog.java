package org.lockdale.gateway.request;

import org.tinylog.Logger;

/** Logs requests that ended otherwise than in time with the response to their only send. */
final class EndedRequestLog {

  private EndedRequestLog() {}

  /**
   * Logs a request that has ended, unless it was served in time by one send.
   *
   * @param outcome how it has ended
   * @param nowMillis the monotonic time, in milliseconds
   */
  static void log(RequestState state, String outcome, long nowMillis) {
    boolean late = state.route != null && state.isLateStream();
    if (!late && state.sends <= 1 && outcome.equals(RequestPath.COMPLETE)) {
      return;
    }
    Logger.info(
        "event=request-ended request={} outcome={} status={} late={} pool={} backend={}"
            + " connection={} sends={} millis={} first-event-ms={} longest-gap-ms={}"
            + " prompt-tokens={} waiting-tokens={} deferred={}",
        state.request.id(),
        outcome,
        state.response.status(),
        late,
        state.pool,
        state.backend,
        state.connection,
        state.sends,
        nowMillis - state.arrivedAtMillis,
        state.response.firstEventMillis(),
        state.response.longestGapMillis(),
        state.promptTokens(),
        state.waitingTokens,
        state.deferred);
  }
}
