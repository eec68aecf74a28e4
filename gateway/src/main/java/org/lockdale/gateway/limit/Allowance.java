package org.lockdale.gateway.limit;

import org.lockdale.gateway.configuration.TenantLimit;

/**
 * Division of a tenant's limit and the headroom beyond it, for all nodes together. Within a window,
 * the capacity, the reserve and the amount that the rate adds during the window and the return time
 * sum up to the upper bound of the limit.
 *
 * @param ratePerMilli amount that the tenant's buckets gain per millisecond
 * @param capacity maximum level of the tenant's buckets
 * @param reserve amount that nodes set aside for the loss of a relay
 * @param returnMillis time after the grant within which a request is sent, or its amount used for
 *     another request, in milliseconds
 */
public record Allowance(double ratePerMilli, double capacity, double reserve, long returnMillis) {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  /**
   * Fraction of the headroom that is added to the capacity. Capacity beyond the burst has to hold
   * the largest request, since buckets start empty.
   */
  private static final double CAPACITY_FRACTION = 3 / 8.0;

  /** Fraction of the headroom that is added to the rate. */
  private static final double RATE_FRACTION = 1 / 8.0;

  /** Fraction of the headroom that allows requests to be sent later than they were granted. */
  private static final double RETURN_FRACTION = 1 / 8.0;

  /** Fraction of the headroom that is set aside; it has to last while a relay is replaced. */
  private static final double RESERVE_FRACTION = 3 / 8.0;

  /**
   * Upper bound of {@link #returnMillis}, which applies if the headroom is large enough, in
   * milliseconds.
   */
  static final long MAX_RETURN_MILLIS = 1_000;

  /** Returns the allowance for a limit and the bound on exceeding it. */
  public static Allowance of(TenantLimit limit, LimitBound bound) {
    double windowMillis = bound.window().toMillis();
    double rate = limit.ratePerSecond() / MILLIS_PER_SECOND;
    double headroom = bound.overshoot() * (rate * windowMillis + limit.burst()) + bound.slack();
    double returnMillis =
        Math.floor(Math.min(MAX_RETURN_MILLIS, headroom * RETURN_FRACTION / rate));
    return new Allowance(
        rate + headroom * RATE_FRACTION / (windowMillis + returnMillis),
        limit.burst() + headroom * CAPACITY_FRACTION,
        headroom * RESERVE_FRACTION,
        (long) returnMillis);
  }
}
