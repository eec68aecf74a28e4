package org.lockdale.gateway.backend;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Recent failures of one back end as seen by this node. A back end that fails is ejected for a time
 * that doubles with every further failure in a row; after it, one success brings it back. Safe for
 * use by several threads.
 */
public final class BackendHealth {

  private static final long FIRST_EJECTION_MILLIS = 500;
  private static final int MAX_DOUBLINGS = 3;

  /** Failures in a row that eject. A single one may be the request's own. */
  private static final int FAILURES_TO_EJECT = 2;

  /**
   * Longer than all who place requests take to hear of a rejection, and shorter than a load of
   * weights.
   */
  private static final long FIRST_REJECTION_PAUSE_MILLIS = 150;

  /** After this time without a rejection the next pause is a first one. */
  private static final long REJECTION_MEMORY_MILLIS = 1_000;

  /** Weight of the newest outcome in the failure rate. */
  private static final double RATE_WEIGHT = 0.15;

  /**
   * Time in which the failure rate halves where nothing is sent; else a back end that failed last
   * is avoided for good, as it gets no request that could lower its rate, and another one that
   * fails as often gets all of them.
   */
  private static final double RATE_HALF_LIFE_MILLIS = 2_000;

  private final AtomicInteger failuresInRow = new AtomicInteger();
  private final AtomicLong ejectedUntilMillis = new AtomicLong(Long.MIN_VALUE);
  private final AtomicReference<Rejections> rejections = new AtomicReference<>(Rejections.NONE);
  private final AtomicReference<FailureRate> failureRate =
      new AtomicReference<>(new FailureRate(0, 0));

  /** Failure rate at the time of the last failure, lowered by the successes since. */
  private record FailureRate(double value, long failedAtMillis) {

    FailureRate succeeded() {
      return new FailureRate(value * (1 - RATE_WEIGHT), failedAtMillis);
    }

    FailureRate failed(long nowMillis) {
      double aged = at(nowMillis);
      return new FailureRate(aged + (1 - aged) * RATE_WEIGHT, nowMillis);
    }

    double at(long nowMillis) {
      long age = Math.max(0, nowMillis - failedAtMillis);
      return value * Math.pow(0.5, age / RATE_HALF_LIFE_MILLIS);
    }
  }

  /** Rejections in a row, each after the pause of the one before it, and the newest pause's end. */
  private record Rejections(int count, long pausedUntilMillis) {
    static final Rejections NONE = new Rejections(0, Long.MIN_VALUE / 2);

    boolean isPaused(long nowMillis) {
      return nowMillis < pausedUntilMillis;
    }

    Rejections next(long nowMillis) {
      if (isPaused(nowMillis)) {
        // It was under way when the pause began and tells nothing new.
        return this;
      }
      boolean fresh = nowMillis - pausedUntilMillis > REJECTION_MEMORY_MILLIS;
      int before = fresh ? 0 : count;
      long pause = FIRST_REJECTION_PAUSE_MILLIS << Math.min(before, MAX_DOUBLINGS);
      return new Rejections(before + 1, nowMillis + pause);
    }
  }

  /** Notes an answer. */
  public void succeeded() {
    failuresInRow.set(0);
    ejectedUntilMillis.set(Long.MIN_VALUE);
    failureRate.updateAndGet(FailureRate::succeeded);
  }

  /** Notes a request without a sound answer. */
  public void failed(long nowMillis) {
    failureRate.updateAndGet(before -> before.failed(nowMillis));
    int failures = failuresInRow.incrementAndGet();
    if (failures >= FAILURES_TO_EJECT) {
      eject(nowMillis, failures - FAILURES_TO_EJECT);
    }
  }

  /**
   * Notes that it has turned a request away, as when it is full or loads weights. It is left alone
   * for a time that doubles while this goes on. Answers to earlier requests don't end the pause,
   * since an engine goes on with its runs while it takes no new ones.
   */
  public void rejected(long nowMillis) {
    rejections.updateAndGet(before -> before.next(nowMillis));
  }

  private void unavailable(long nowMillis, long millis) {
    ejectedUntilMillis.accumulateAndGet(nowMillis + millis, Math::max);
  }

  /** Notes that no connection came up. */
  public void unreachable(long nowMillis) {
    failureRate.updateAndGet(before -> before.failed(nowMillis));
    eject(nowMillis, failuresInRow.incrementAndGet() - 1);
  }

  private void eject(long nowMillis, int doublings) {
    long millis = FIRST_EJECTION_MILLIS << Math.min(doublings, MAX_DOUBLINGS);
    unavailable(nowMillis, millis);
  }

  /** Returns the share of recent requests that failed, 0 to 1, newer ones weighing more. */
  public double failureRate(long nowMillis) {
    return failureRate.get().at(nowMillis);
  }

  /** Returns whether the last attempts all failed, also after the pause that they led to. */
  public boolean isSuspected() {
    return failuresInRow.get() >= FAILURES_TO_EJECT;
  }

  /** Returns whether requests should go elsewhere for now. */
  public boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis.get() || rejections.get().isPaused(nowMillis);
  }
}
