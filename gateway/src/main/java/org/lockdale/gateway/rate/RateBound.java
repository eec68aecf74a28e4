package org.lockdale.gateway.rate;

/**
 * What a node may send to a back end that names a rate. Shares of all nodes sum up to 1 at most, so
 * in any time all nodes together send what the rate gives in it, and {@link #capacity} of a whole
 * share besides.
 *
 * @param perSecond requests a second that all nodes together may send
 */
record RateBound(double perSecond) {

  /**
   * A back end that takes nothing gets a request now and then, since only an answer can tell that
   * it takes some again.
   */
  private static final double LEAST_PER_SECOND = 0.25;

  /**
   * In four seconds a back end bears half as much again as its rate gives, and five requests. Half
   * a second's worth and one and a half requests of that are kept for requests that were granted
   * one after the other and arrive together.
   */
  private static final double BORNE_SECONDS = 1.5;

  private static final double BORNE_REQUESTS = 3.5;

  /** What a node that decides for all saves up, so that a short pause loses nothing. */
  private static final double SAVED_SECONDS = 0.5;

  private static final double SAVED_REQUESTS = 2;

  /** Raises the rate to the least one. */
  RateBound {
    perSecond = Math.max(perSecond, LEAST_PER_SECOND);
  }

  /** Returns what a share gains in a time. */
  double gained(double shareMillis) {
    return perSecond * shareMillis / 1_000;
  }

  /**
   * Returns the most requests that a share saves up. A node by itself, as in a cut, has a share
   * under which it would never gather one whole request; it may, where all that are by themselves
   * together don't exceed what the back end bears.
   */
  double capacity(double share) {
    double saved = (SAVED_SECONDS * perSecond + SAVED_REQUESTS) * share;
    double borne = (BORNE_SECONDS * perSecond + BORNE_REQUESTS) * share;
    return Math.max(saved, Math.min(1, borne));
  }
}
