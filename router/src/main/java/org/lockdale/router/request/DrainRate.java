package org.lockdale.router.request;

/**
 * Rate at which requests leave the capacity queue of this node, as an exponential moving average of
 * the time between two starts. Safe for use by several threads.
 */
final class DrainRate {

  private static final double SMOOTHING = 0.1;
  private static final double INITIAL_GAP_MILLIS = 20;
  private static final long MAX_GAP_MILLIS = 1_000;

  private double gapMillis = INITIAL_GAP_MILLIS;
  private long lastStartMillis = Long.MIN_VALUE;

  synchronized void recordStart(long nowMillis) {
    if (lastStartMillis != Long.MIN_VALUE) {
      long gap = Math.min(MAX_GAP_MILLIS, nowMillis - lastStartMillis);
      gapMillis += SMOOTHING * (gap - gapMillis);
    }
    lastStartMillis = nowMillis;
  }

  /** Returns the expected time in milliseconds until a number of requests have started. */
  synchronized double expectedMillis(int requests) {
    return requests * gapMillis;
  }
}
