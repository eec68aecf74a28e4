package org.lockdale.router.request;

/**
 * How fast the capacity queue of this node empties, as a moving average of the time between two
 * starts. Safe for use by several threads.
 */
final class DrainRate {

  private static final double SMOOTHING = 0.1;
  private static final double FIRST_GUESS_MILLIS = 20;
  private static final long MAX_GAP_MILLIS = 1_000;

  private double gapMillis = FIRST_GUESS_MILLIS;
  private long lastStartMillis = Long.MIN_VALUE;

  synchronized void started(long nowMillis) {
    if (lastStartMillis != Long.MIN_VALUE) {
      long gap = Math.min(MAX_GAP_MILLIS, nowMillis - lastStartMillis);
      gapMillis += SMOOTHING * (gap - gapMillis);
    }
    lastStartMillis = nowMillis;
  }

  /** Returns the expected time until a number of requests have started. */
  synchronized double expectedMillis(int requests) {
    return requests * gapMillis;
  }
}
