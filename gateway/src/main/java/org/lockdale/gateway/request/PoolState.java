package org.lockdale.gateway.request;

import java.util.List;
import java.util.function.IntSupplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.rate.BackendRates;

/** What a request needs to know about its pool and the backends in it. Thread-safe. */
final class PoolState {

  /**
   * Retry time of a request that waits for room and was given up for another reason, such as a
   * failed backend: the usual duration of a short call.
   */
  private static final long NO_ROOM_RETRY_MILLIS = 250;

  private final GatewayBlackboard blackboard;
  private final BackendRates rates;
  private final IntSupplier nodes;
  private final AdmissionTermsSource terms;
  private final PoolWaits waits;
  private final Time time;

  PoolState(
      GatewayBlackboard blackboard,
      BackendRates rates,
      IntSupplier nodes,
      AdmissionTermsSource terms,
      boolean keepsUrgency,
      Time time) {
    this.blackboard = blackboard;
    this.rates = rates;
    this.nodes = nodes;
    this.terms = terms;
    this.waits = new PoolWaits(keepsUrgency, time);
    this.time = time;
  }

  /** Returns the estimates of the waiting times at the pools. */
  PoolWaits waits() {
    return waits;
  }

  /** Returns the backends of the request's pool. */
  List<TrackedBackend> backends(RequestState state) {
    return blackboard.backends().value().ofPool(state.pool);
  }

  /**
   * Returns whether the pool of the request has a serving backend that may serve it, was not tried
   * yet and has not requested a backoff.
   */
  boolean hasUntriedBackend(RequestState state) {
    return blackboard.backends().value().ofPool(state.pool).stream()
        .filter(
            tracked -> tracked.isServing() && !tracked.backoff().isActive(time.monotonicMillis()))
        .filter(tracked -> state.isServedBy(tracked.backend()))
        .anyMatch(tracked -> !state.triedBackends.contains(tracked.backend().id()));
  }

  /**
   * Returns the maximum number of connections that this node may have open to a backend of the
   * request's pool: its share of those that the backend accepts from all nodes together, as the
   * backend resets further ones.
   */
  int maxConnectionsTo(RequestState state) {
    int poolLimit =
        state.configuration.pool(state.pool).map(Pool::maxConnections).orElse(Integer.MAX_VALUE);
    return Math.max(1, poolLimit / Math.max(1, nodes.getAsInt()));
  }

  /**
   * Returns the time after which a caller that no backend can serve now should retry, in
   * milliseconds.
   */
  long retryAfterMillis(RequestState state) {
    long queued = terms.waitsForRoom(state) ? NO_ROOM_RETRY_MILLIS : waits.retryAfterMillis(state);
    long backoff = backoffMillis(state.pool);
    return backoff == 0
        ? queued
        : Math.max(queued, rates.retryAfterMillis(state.pool, List.of(), backoff));
  }

  /**
   * Returns the time until the first backend of a pool ends its backoff, in milliseconds; 0 if any
   * backend is not in a backoff or the pool has none.
   */
  private long backoffMillis(String pool) {
    long now = time.monotonicMillis();
    return blackboard.backends().value().ofPool(pool).stream()
        .filter(TrackedBackend::isServing)
        .mapToLong(tracked -> tracked.backoff().remainingMillis(now))
        .min()
        .orElse(0);
  }
}
