package org.lockdale.router.placement;

/**
 * Shares of a request's likes in this node's requests, between 0 and 1.
 *
 * @param group share of its group
 * @param prefix share of its deepest prefix that was seen before, at most that of its group
 */
public record Popularity(double group, double prefix) {

  /** Popularity of what is asked for now and then. */
  public static final Popularity RARE = new Popularity(0, 0);
}
