package org.lockdale.gateway.cache;

/**
 * Position in the changes of a holder of cached prompts.
 *
 * @param epoch number that changes when the holder restarts, after which positions start again
 * @param next position at which the next page starts
 */
public record CachePosition(long epoch, long next) {

  /** The position of a follower that has read nothing yet, in whichever epoch. */
  public static final CachePosition START = new CachePosition(0, 0);

  /**
   * Returns whether a page can only be one that was read before this position was reached: it ends
   * earlier, or has changes and ends here.
   *
   * @param page a page of the same holder
   */
  public boolean covers(CacheEventPage page) {
    boolean comparable = !equals(START) && page.epoch() == epoch;
    return comparable && (page.next() < next || page.next() == next && !page.events().isEmpty());
  }
}
