package org.lockdale.gateway.backend;

/** Rate limit that a response of a backend advertises, for the requests of all nodes together. */
public sealed interface AdvertisedRate {

  /** The response advertises no rate limit. */
  AdvertisedRate NONE = new None();

  /** The response advertises no rate limit. */
  record None() implements AdvertisedRate {}

  /**
   * The response advertises a rate limit.
   *
   * @param perSecond requests per second, finite and not negative
   */
  record Limited(double perSecond) implements AdvertisedRate {

    /**
     * Creates a rate limit.
     *
     * @throws IllegalArgumentException if the rate is negative, infinite or not a number
     */
    public Limited {
      if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
        throw new IllegalArgumentException("Rate must be finite and not negative: " + perSecond);
      }
    }
  }

  /**
   * The response carries a value that is not a rate.
   *
   * @param text the value
   */
  record Unreadable(String text) implements AdvertisedRate {}
}
