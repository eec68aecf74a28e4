package org.lockdale.gateway.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells callers of a pool whose back ends take no more now when to come back: one after the other,
 * at the rate at which the pool takes requests. All told the same time, they would come back
 * together, and all but one in vain. Without I/O; time is injected; not safe for use by several
 * threads.
 */
final class ComeBackSchedule {

  /** Nobody is told to come back later than this; rates and servers change meanwhile. */
  static final long MAX_WAIT_MILLIS = 5_000;

  /** Nobody is told to come back sooner: the answer has to reach the caller first. */
  static final long LEAST_WAIT_MILLIS = 50;

  /** Times beyond the longest one are spread over this part of it before its end. */
  private static final double SPREAD = 0.5;

  /** A sequence of numbers from 0 to 1 in which neighbours lie far apart. */
  private static final double GOLDEN_RATIO_PART = 0.618_033_988_749_895;

  private final Map<String, Double> latestByPool = new HashMap<>();
  private double sequence;

  /**
   * Returns when the next caller is to come back, in milliseconds from now.
   *
   * @param pool name of the pool
   * @param soonestMillis time until the pool takes a request again, or positive infinity
   * @param perSecond requests a second that it takes, 0 where none are foreseen
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
    return Math.max(LEAST_WAIT_MILLIS, Math.round(at - nowMillis));
  }

  private long spread() {
    sequence = (sequence + GOLDEN_RATIO_PART) % 1;
    return Math.round(MAX_WAIT_MILLIS * (1 - SPREAD * sequence));
  }
}
