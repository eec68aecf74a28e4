package org.lockdale.gateway.backend;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Recent failures of one backend as seen by this node. A backend that fails is ejected for a time
 * that doubles with each further consecutive failure; afterwards one success restores it. Safe for
 * use by several threads.
 */
public final class BackendHealth {

  private static final long FIRST_EJECTION_MILLIS = 500;
  private static final int MAX_DOUBLINGS = 3;

  /**
   * Number of consecutive failures that eject a backend. A single failure may be due to the request
   * itself.
   */
  private static final int FAILURES_TO_EJECT = 2;

  /**
   * Pause after the first rejection. It is longer than the time in which all nodes that place
   * requests learn of a rejection, and shorter than loading weights takes.
   */
  private static final long FIRST_REJECTION_PAUSE_MILLIS = 150;

  /**
   * Time without a rejection, in milliseconds, after which the next pause has its initial length
   * again.
   */
  private static final long REJECTION_RESET_MILLIS = 1_000;

  /** Weight of the newest outcome in the moving average of failures. */
  private static final double RATE_SMOOTHING_FACTOR = 0.15;

  /**
   * Time in milliseconds in which the failure rate halves while no requests are sent. Without this
   * decay a backend that failed last would be avoided for good, since it gets no request that could
   * lower its rate, and another one that fails as often would get all requests.
   */
  private static final double RATE_HALF_LIFE_MILLIS = 2_000;

  private volatile boolean succeeded;
  private final AtomicInteger failuresInRow = new AtomicInteger();
  private final AtomicLong ejectedUntilMillis = new AtomicLong(Long.MIN_VALUE);
  private final AtomicReference<Rejections> rejections = new AtomicReference<>(Rejections.NONE);
  private final AtomicReference<FailureRate> failureRate =
      new AtomicReference<>(new FailureRate(0, 0));

  /** Failure rate as of the last failure, reduced by the successes since. */
  private record FailureRate(double value, long failedAtMillis) {

    FailureRate succeeded() {
      return new FailureRate(value * (1 - RATE_SMOOTHING_FACTOR), failedAtMillis);
    }

    FailureRate failed(long nowMillis) {
      double aged = at(nowMillis);
      return new FailureRate(aged + (1 - aged) * RATE_SMOOTHING_FACTOR, nowMillis);
    }

    double at(long nowMillis) {
      long age = Math.max(0, nowMillis - failedAtMillis);
      return value * Math.pow(0.5, age / RATE_HALF_LIFE_MILLIS);
    }
  }

  /**
   * Consecutive rejections, each received after the pause of the previous one.
   *
   * @param count number of rejections
   * @param pausedUntilMillis monotonic time in milliseconds at which the latest pause ends
   */
  private record Rejections(int count, long pausedUntilMillis) {
    static final Rejections NONE = new Rejections(0, Long.MIN_VALUE / 2);

    boolean isPaused(long nowMillis) {
      return nowMillis < pausedUntilMillis;
    }

    Rejections next(long nowMillis) {
      if (isPaused(nowMillis)) {
        // The request was already in flight when the pause started, so its rejection adds no
        // information.
        return this;
      }
      boolean isReset = nowMillis - pausedUntilMillis > REJECTION_RESET_MILLIS;
      int before = isReset ? 0 : count;
      long pause = FIRST_REJECTION_PAUSE_MILLIS << Math.min(before, MAX_DOUBLINGS);
      return new Rejections(before + 1, nowMillis + pause);
    }
  }

  /** Returns whether any valid response was recorded. */
  public boolean hasSucceeded() {
    return succeeded;
  }

  /** Records a valid response. It ends an ejection, but not a pause after rejections. */
  public void recordSuccess() {
    succeeded = true;
    failuresInRow.set(0);
    ejectedUntilMillis.set(Long.MIN_VALUE);
    failureRate.updateAndGet(FailureRate::succeeded);
  }

  /** Records a request that got no valid response. */
  public void recordFailure(long nowMillis) {
    failureRate.updateAndGet(before -> before.failed(nowMillis));
    int failures = failuresInRow.incrementAndGet();
    if (failures >= FAILURES_TO_EJECT) {
      eject(nowMillis, failures - FAILURES_TO_EJECT);
    }
  }

  /**
   * Records that the backend has rejected a request, for example since it is full or loads weights.
   * It receives no requests for a time that doubles while the rejections continue. Responses to
   * earlier requests don't end the pause, since an engine completes its running requests while it
   * accepts no new ones.
   */
  public void recordRejection(long nowMillis) {
    rejections.updateAndGet(before -> before.next(nowMillis));
  }

  private void ejectFor(long nowMillis, long millis) {
    ejectedUntilMillis.accumulateAndGet(nowMillis + millis, Math::max);
  }

  /** Records that no connection could be established. */
  public void recordUnreachable(long nowMillis) {
    failureRate.updateAndGet(before -> before.failed(nowMillis));
    eject(nowMillis, failuresInRow.incrementAndGet() - 1);
  }

  private void eject(long nowMillis, int doublings) {
    long millis = FIRST_EJECTION_MILLIS << Math.min(doublings, MAX_DOUBLINGS);
    ejectFor(nowMillis, millis);
  }

  /**
   * Returns the share of recent requests that failed, 0 to 1, with higher weight for newer ones.
   */
  public double failureRate(long nowMillis) {
    return failureRate.get().at(nowMillis);
  }

  /**
   * Returns whether the last attempts all failed. This holds until an attempt succeeds, also after
   * the ejection has ended.
   */
  public boolean isSuspected() {
    return failuresInRow.get() >= FAILURES_TO_EJECT;
  }

  /** Returns whether the backend is ejected or paused, so that requests should go to others. */
  public boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis.get() || rejections.get().isPaused(nowMillis);
  }
}
