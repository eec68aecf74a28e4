package org.lockdale.gateway.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.coordination.time.Time;

/**
 * Estimates the waiting times at the pools of this node from the responses of their backends.
 * Thread-safe.
 */
final class PoolWaits {

  /** Retry time for a pool where nothing waits: the usual duration of a short call. */
  private static final long EMPTY_QUEUE_RETRY_MILLIS = 250;

  /** Minimum retry time; a caller that retries sooner would find the same queue. */
  private static final long MIN_RETRY_MILLIS = 50;

  /** The requests of one priority that wait at a pool. More urgent ones overtake them. */
  private record Queue(String pool, int priority) {}

  /**
   * Fraction of the remaining time within which the response has to start; the rest is left to
   * complete it.
   */
  private static final double MAX_WAIT_FRACTION = 0.7;

  private final boolean keepsUrgency;
  private final Time time;
  private final WaitEstimate waitEstimate = new WaitEstimate();
  private final Map<Queue, QueueForecast> queues = new ConcurrentHashMap<>();

  /**
   * Creates estimates without any response.
   *
   * @param keepsUrgency whether deferred requests stay ahead of less urgent ones
   */
  PoolWaits(boolean keepsUrgency, Time time) {
    this.keepsUrgency = keepsUrgency;
    this.time = time;
  }

  /**
   * Returns the priority of a deferred request. Behind all others it would starve while less urgent
   * requests arrive; one step down it only lets those of its own priority pass.
   */
  int deferredPriority(int configured) {
    return keepsUrgency
        ? Math.min(RequestState.LOWEST_PRIORITY, configured + 1)
        : RequestState.LOWEST_PRIORITY;
  }

  /**
   * Returns whether a placed request would miss its latency objective if it kept its priority. When
   * engines are overloaded, serving in order of arrival makes every request late, so those that
   * would miss their objective are deferred in favour of those that can still meet it.
   */
  boolean wouldBeLate(RequestState state) {
    if (state.prompt == null) {
      return false;
    }
    double wait =
        waitEstimate.predictMillis(state.configuredPriority(), state.tokensUntilFirstEvent());
    long elapsed = time.monotonicMillis() - state.arrivedAtMillis;
    return elapsed + wait > state.route().latencyObjective().toMillis();
  }

  /**
   * Returns whether a placed request is so unlikely to be served in time that it is better refused
   * now. Both estimates have to show it, since each can err: the one from the tokens queued at the
   * engine does not account for stalled engines, and the one from this node's queue at the pool
   * does not account for free engines.
   */
  boolean cannotMeetDeadline(RequestState state) {
    long left = state.deadlineAtMillis() - time.monotonicMillis();
    return wouldBeLate(state) && queueOf(state).predictMillis() > left * MAX_WAIT_FRACTION;
  }

  /** Adds a request that is being sent to the queue of its pool and priority. */
  QueueForecast.Place enqueue(RequestState state) {
    return queueOf(state).join();
  }

  /**
   * Records the time to the first event of a request. Deferred requests are not counted.
   *
   * @param sentAtMillis monotonic time at which the request was sent
   */
  void recordFirstEvent(RequestState state, long sentAtMillis) {
    if (!state.deferred) {
      long millis = time.monotonicMillis() - sentAtMillis;
      waitEstimate.observe(state.configuredPriority(), state.tokensUntilFirstEvent(), millis);
    }
  }

  /**
   * Returns the predicted time until the requests that wait at the pool now have started, in
   * milliseconds.
   */
  long retryAfterMillis(RequestState state) {
    QueueForecast queue = queueOf(state);
    return queue.waiting() == 0
        ? EMPTY_QUEUE_RETRY_MILLIS
        : Math.max(MIN_RETRY_MILLIS, Math.round(queue.predictMillis()));
  }

  private QueueForecast queueOf(RequestState state) {
    Queue queue = new Queue(state.pool, state.configuredPriority());
    return queues.computeIfAbsent(queue, key -> new QueueForecast(time));
  }
}
