package org.lockdale.gateway.request;

/** Decides whether a request may be sent once more after an attempt that did not serve it. */
final class RetryRules {

  private final RequestEnvironment environment;
  private final RequestState state;

  RetryRules(RequestEnvironment environment, RequestState state) {
    this.environment = environment;
    this.state = state;
  }

  /** Returns whether a request that waits at a silent backend may be sent to another one. */
  boolean mayLeaveSilent(RunningAttempt attempt) {
    return (attempt.isWaiting() || state.response.lastEventId() != null)
        && state.possibleRuns + 1 < state.route().maxAttempts()
        && environment.hasUntriedBackend()
        && environment.tryRetry();
  }

  /**
   * Returns whether a request that a backend may have run may be sent again. A stream that has
   * started can only be resumed after an event that has an id.
   */
  boolean mayRetryAfter(AttemptResult result) {
    boolean hasResumePoint =
        result != AttemptResult.BROKEN_OFF || state.response.lastEventId() != null;
    return state.route().isRepeatable() && hasResumePoint && mayRetry();
  }

  /** Returns whether a request that another node may have run may be sent again. */
  boolean mayRetryAfterLostNode() {
    return state.route().isRepeatable() && !state.response.hasStarted() && mayRetry();
  }

  /** Returns whether a request may be sent again as far as its number of runs is concerned. */
  boolean mayRetry() {
    return state.possibleRuns < state.route().maxAttempts() && environment.tryRetry();
  }
}
