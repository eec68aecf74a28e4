package org.lockdale.gateway.backend;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

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

  /** Weight of the newest outcome in the failure rate. */
  private static final double RATE_WEIGHT = 0.15;

  private static final double SCALE = 1_000_000;

  private final AtomicInteger failuresInRow = new AtomicInteger();
  private final AtomicLong ejectedUntilMillis = new AtomicLong(Long.MIN_VALUE);
  private final AtomicLong failureRateScaled = new AtomicLong();

  /** Notes an answer. */
  public void succeeded() {
    failuresInRow.set(0);
    ejectedUntilMillis.set(Long.MIN_VALUE);
    moveRate(0);
  }

  /** Notes a request without a sound answer. */
  public void failed(long nowMillis) {
    moveRate(SCALE);
    int failures = failuresInRow.incrementAndGet();
    if (failures >= FAILURES_TO_EJECT) {
      eject(nowMillis, failures - FAILURES_TO_EJECT);
    }
  }

  /** Notes that it can't be reached or takes no work at present. */
  public void unavailable(long nowMillis, long millis) {
    ejectedUntilMillis.accumulateAndGet(nowMillis + millis, Math::max);
  }

  /** Notes that no connection came up. */
  public void unreachable(long nowMillis) {
    moveRate(SCALE);
    eject(nowMillis, failuresInRow.incrementAndGet() - 1);
  }

  private void eject(long nowMillis, int doublings) {
    long millis = FIRST_EJECTION_MILLIS << Math.min(doublings, MAX_DOUBLINGS);
    unavailable(nowMillis, millis);
  }

  private void moveRate(double outcome) {
    failureRateScaled.updateAndGet(
        before -> (long) (before * (1 - RATE_WEIGHT) + outcome * RATE_WEIGHT));
  }

  /** Returns the share of recent requests that failed, 0 to 1, newer ones weighing more. */
  public double failureRate() {
    return failureRateScaled.get() / SCALE;
  }

  /** Returns whether the last attempts all failed, also after the pause that they led to. */
  public boolean isSuspected() {
    return failuresInRow.get() >= FAILURES_TO_EJECT;
  }

  /** Returns whether requests should go elsewhere for now. */
  public boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis.get();
  }
}
