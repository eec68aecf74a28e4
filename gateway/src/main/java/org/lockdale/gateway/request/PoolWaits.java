package org.lockdale.gateway.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.coordination.time.Time;

/**
 * What this node knows of the waits at its pools, learned from the answers of their back ends. Safe
 * for use by several threads.
 */
final class PoolWaits {

  /** When to come back to a pool where nothing waits: the usual time of a short call. */
  private static final long UNKNOWN_COME_BACK_MILLIS = 250;

  /** A caller that comes back sooner than this would find the same queue. */
  private static final long LEAST_COME_BACK_MILLIS = 50;

  private final Time time;
  private final WaitEstimate waits = new WaitEstimate();
  private final Map<String, QueueForecast> queues = new ConcurrentHashMap<>();

  PoolWaits(Time time) {
    this.time = time;
  }

  /**
   * Returns whether a request that was placed would be late in its turn. Where more comes than
   * engines can do, a queue in order of arrival makes everything late; a request that would be late
   * lets those pass that can still be in time.
   */
  boolean wouldBeLate(RequestState state) {
    if (state.prompt == null) {
      return false;
    }
    double wait = waits.predictMillis(state.ownPriority(), state.tokensUntilFirstEvent());
    long elapsed = time.monotonicMillis() - state.arrivedAtMillis;
    return elapsed + wait > state.route().latencyObjective().toMillis();
  }

  /** Notes that a request is sent. */
  QueueForecast.Place sent(RequestState state) {
    return queueOf(state).join();
  }

  /** Notes that an engine began to answer a prompt that was sent at a time. */
  void begun(RequestState state, long sentAtMillis) {
    if (!state.deferred) {
      long millis = time.monotonicMillis() - sentAtMillis;
      waits.observe(state.ownPriority(), state.tokensUntilFirstEvent(), millis);
    }
  }

  /** Returns when what waits at a request's pool now will have begun, in milliseconds. */
  long comeBackMillis(RequestState state) {
    QueueForecast queue = queueOf(state);
    return queue.waiting() == 0
        ? UNKNOWN_COME_BACK_MILLIS
        : Math.max(LEAST_COME_BACK_MILLIS, Math.round(queue.predictMillis()));
  }

  private QueueForecast queueOf(RequestState state) {
    return queues.computeIfAbsent(state.pool, pool -> new QueueForecast(time));
  }
}
