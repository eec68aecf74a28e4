package org.lockdale.gateway.rate;

/**
 * Limit on what a node may send to a backend that advertises a rate. The shares of all nodes sum up
 * to at most 1, so in any period all nodes together send at most the rate times the period, plus
 * the {@link #capacity} of a full share.
 *
 * @param advertisedPerSecond requests per second that the backend accepts from all nodes together
 */
record RateBound(double advertisedPerSecond) {

  /**
   * Minimum rate. A backend that accepts nothing is sent an occasional request, since only a
   * response can show that it accepts requests again.
   */
  private static final double MIN_PER_SECOND = 0.25;

  /**
   * Part of the burst that a backend tolerates, as seconds of its rate. In any four seconds a
   * backend tolerates 1.5 times the requests that its rate allows, plus five. This is a burst of
   * two seconds of its rate and five requests. Of this burst, half a second of the rate and 1.5
   * requests are reserved for requests that were granted one after the other but arrive together.
   */
  private static final double TOLERATED_SECONDS = 1.5;

  /** Part of the tolerated burst that does not depend on the rate, in requests. */
  private static final double TOLERATED_REQUESTS = 3.5;

  /**
   * Burst of a node that holds the shares of all nodes, as seconds of the rate, so that a short
   * pause loses no capacity.
   */
  private static final double BURST_SECONDS = 0.5;

  /** Part of that burst that does not depend on the rate, in requests. */
  private static final double BURST_REQUESTS = 2;

  /** Factor by which a backend tolerates more requests in a window than its rate allows. */
  private static final double WINDOW_FACTOR = 1.5;

  /** Requests that a backend tolerates in a window in addition. */
  private static final double WINDOW_REQUESTS = 5;

  /** Returns the requests per second that all nodes together may send: the minimum at least. */
  double perSecond() {
    return Math.max(advertisedPerSecond, MIN_PER_SECOND);
  }

  /** Returns the number of requests that a share may have arrive in one window. */
  double perWindow(double share) {
    double windowSeconds = SentRequests.WINDOW_MILLIS / 1_000.0;
    return (WINDOW_FACTOR * advertisedPerSecond * windowSeconds + WINDOW_REQUESTS) * share;
  }

  /**
   * Returns the number of requests that a share gains.
   *
   * @param shareMillis integral of the share over time, in milliseconds
   */
  double gain(double shareMillis) {
    return perSecond() * shareMillis / 1_000;
  }

  /**
   * Returns the maximum number of requests that a share accumulates. The share of an isolated node,
   * as in a network partition, may be too small to ever accumulate one full request. It may still
   * accumulate one if all isolated nodes together do not exceed what the backend tolerates.
   */
  double capacity(double share) {
    double burst = (BURST_SECONDS * perSecond() + BURST_REQUESTS) * share;
    double tolerated = (TOLERATED_SECONDS * perSecond() + TOLERATED_REQUESTS) * share;
    return Math.max(burst, Math.min(1, tolerated));
  }
}
