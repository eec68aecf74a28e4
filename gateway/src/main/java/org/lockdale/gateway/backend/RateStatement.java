package org.lockdale.gateway.backend;

/** What an answer of a back end says of the rate at which it takes requests from all nodes. */
public sealed interface RateStatement {

  /** The answer names no rate. */
  RateStatement NONE = new None();

  /** The answer names no rate. */
  record None() implements RateStatement {}

  /**
   * The answer names a rate.
   *
   * @param perSecond requests a second, 0 or more
   */
  record Limited(double perSecond) implements RateStatement {

    /** Checks the rate. */
    public Limited {
      if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
        throw new IllegalArgumentException("A rate is a finite number of 0 or more: " + perSecond);
      }
    }
  }

  /**
   * The answer names something that is no rate.
   *
   * @param text what stands there
   */
  record Unreadable(String text) implements RateStatement {}
}
