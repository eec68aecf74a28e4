package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.admission.OutputEstimates;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.configuration.Route;

/**
 * Determines the terms on which requests wait for room. Only requests with a prompt to a pool with
 * engines wait. Thread-safe.
 */
final class AdmissionTermsSource {

  /** Callers wait at least this long for an event, in milliseconds. */
  private static final long MIN_PATIENCE_MILLIS = 2_000;

  /** Callers wait for an event for this many latency objectives. */
  private static final int PATIENCE_OBJECTIVES = 4;

  /** Callers wait for an event for this many gap objectives. */
  private static final int PATIENCE_GAPS = 8;

  private final boolean enabled;
  private final OutputEstimates outputs = new OutputEstimates();

  /**
   * Creates a source.
   *
   * @param enabled whether requests wait for room at all
   */
  AdmissionTermsSource(boolean enabled) {
    this.enabled = enabled;
  }

  /** Returns whether a request waits for room rather than in the queue of an engine. */
  boolean waitsForRoom(RequestState state) {
    return enabled
        && state.prompt != null
        && state.configuration.pool(state.pool).map(Pool::hasEngines).orElse(false);
  }

  /**
   * Returns the terms of a request, or null if it is placed at once. A stream that goes on at its
   * software version is placed by this node, which doesn't know the load of the others.
   */
  @Nullable AdmissionTerms termsOf(RequestState state, long nowMillis) {
    if (!waitsForRoom(state) || state.origin != null) {
      return null;
    }
    Route route = state.route();
    return new AdmissionTerms(
        Math.max(0, nowMillis - state.arrivedAtMillis),
        route.latencyObjective().toMillis(),
        patienceMillis(state),
        route.gapObjective().toMillis(),
        state.configuredPriority(),
        state.tenant == null ? null : state.tenant.name(),
        state.promptTokens(),
        outputs.expected(route.name(), state.request.usage()),
        state.possibleRuns > 0 || state.response.hasStarted());
  }

  /** Returns the time from its arrival for which the caller waits for the next event. */
  private static long patienceMillis(RequestState state) {
    Route route = state.route();
    long gap =
        Math.max(
            MIN_PATIENCE_MILLIS,
            Math.max(
                route.latencyObjective().toMillis() * PATIENCE_OBJECTIVES,
                route.gapObjective().toMillis() * PATIENCE_GAPS));
    long from =
        state.response.hasStarted()
            ? state.response.latestEventAtMillis() - state.arrivedAtMillis
            : 0;
    return Math.min(from + gap, state.deadlineAtMillis() - state.arrivedAtMillis);
  }

  /** Records the length of a complete response. */
  void recordComplete(RequestState state) {
    boolean whole = state.request.lastEventId() == null;
    if (state.response.events() > 0 && whole && waitsForRoom(state)) {
      int perEvent = state.configuration.pool(state.pool).map(Pool::tokensPerEvent).orElse(1);
      outputs.record(
          state.route().name(), state.request.usage(), state.response.events() * perEvent);
    }
  }
}
