package org.lockdale.gateway.limit;

import org.lockdale.gateway.configuration.TenantLimit;

/**
 * How a tenant's limit and the headroom beyond it are used, for all nodes together. In a window,
 * capacity, reserve and what the rate gives in the window and the time for returns sum up to the
 * bound.
 *
 * @param ratePerMilli what its buckets gain in a millisecond
 * @param capacity what its buckets hold at most
 * @param reserve what nodes keep back for the loss of a relay
 * @param returnMillis time after a request was granted within which it is sent, or its amount used
 *     for another one
 */
public record Allowance(double ratePerMilli, double capacity, double reserve, long returnMillis) {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  /**
   * Parts of the headroom. Capacity beyond the burst has to hold the largest request, and buckets
   * begin empty; the reserve has to last while a relay is replaced.
   */
  private static final double CAPACITY_PART = 3 / 8.0;

  private static final double RATE_PART = 1 / 8.0;
  private static final double LATENESS_PART = 1 / 8.0;
  private static final double RESERVE_PART = 3 / 8.0;

  /** Requests are sent or given up within this time where there is headroom enough. */
  static final long MAX_RETURN_MILLIS = 1_000;

  /** Returns the use of a limit under a bound. */
  public static Allowance of(TenantLimit limit, LimitBound bound) {
    double windowMillis = bound.window().toMillis();
    double rate = limit.ratePerSecond() / MILLIS_PER_SECOND;
    double headroom = bound.overshoot() * (rate * windowMillis + limit.burst()) + bound.slack();
    double returnMillis = Math.floor(Math.min(MAX_RETURN_MILLIS, headroom * LATENESS_PART / rate));
    return new Allowance(
        rate + headroom * RATE_PART / (windowMillis + returnMillis),
        limit.burst() + headroom * CAPACITY_PART,
        headroom * RESERVE_PART,
        (long) returnMillis);
  }
}
