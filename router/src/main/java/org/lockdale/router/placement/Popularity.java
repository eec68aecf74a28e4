package org.lockdale.router.placement;

/**
 * Shares of a request's group and prefix in this node's requests, between 0 and 1.
 *
 * @param group share of its group
 * @param prefix share of its deepest prefix that was seen before, or of the group if there is none;
 *     at most that of the group
 */
public record Popularity(double group, double prefix) {

  /** Popularity of rarely requested prompts. */
  public static final Popularity RARE = new Popularity(0, 0);
}
