package org.lockdale.gateway.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * Assigns retry times to the callers of a pool whose backends accept no more requests now: one
 * after the other, at the rate at which the pool accepts requests. If all were given the same time,
 * they would retry together, and all but one in vain. Performs no I/O; the time is passed in. Not
 * thread-safe.
 */
final class RetryAfterSchedule {

  /** Maximum retry time; rates and servers may change meanwhile. */
  static final long MAX_WAIT_MILLIS = 5_000;

  /** Minimum retry time, as the response has to reach the caller first. */
  static final long MIN_WAIT_MILLIS = 50;

  /** Callers whose time would exceed the maximum are spread over this last fraction of it. */
  private static final double SPREAD_FRACTION = 0.5;

  /** Step of a low-discrepancy sequence from 0 to 1, in which consecutive numbers are far apart. */
  private static final double GOLDEN_RATIO_FRACTION = 0.618_033_988_749_895;

  private final Map<String, Double> latestByPool = new HashMap<>();
  private double sequence;

  /**
   * Returns the time after which the next caller should retry, in milliseconds.
   *
   * @param pool name of the pool
   * @param soonestMillis time until the pool accepts a request again, in milliseconds, or positive
   *     infinity
   * @param perSecond requests per second that the pool accepts, or 0 if none are expected
   * @param nowMillis monotonic time
   */
  long next(String pool, double soonestMillis, double perSecond, long nowMillis) {
    double first = nowMillis + soonestMillis;
    double latest = latestByPool.getOrDefault(pool, Double.NEGATIVE_INFINITY);
    double at = perSecond > 0 ? Math.max(first, latest + 1_000 / perSecond) : first;
    if (at > nowMillis + MAX_WAIT_MILLIS) {
      return spread();
    }
    latestByPool.put(pool, at);
    return Math.max(MIN_WAIT_MILLIS, Math.round(at - nowMillis));
  }

  private long spread() {
    sequence = (sequence + GOLDEN_RATIO_FRACTION) % 1;
    return Math.round(MAX_WAIT_MILLIS * (1 - SPREAD_FRACTION * sequence));
  }
}
