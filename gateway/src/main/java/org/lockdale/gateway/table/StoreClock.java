package org.lockdale.gateway.table;

/**
 * Converts between the store's steady clock and the monotonic clock of this node, so that the age
 * of another node's proof does not depend on how long the proof was in transit. Invariant: a time
 * of the store is never converted to a later local time than it was, since each observation is
 * dated to the sending of the call. The clocks need only run at nearly the same rate; old
 * observations are dropped, so that a small drift does not accumulate. Safe for use by several
 * threads.
 */
public final class StoreClock {

  private static final long WINDOW_MILLIS = 300_000;
  private static final long NONE = Long.MIN_VALUE / 4;

  private long windowStartMillis = NONE;
  private long previousOffset = NONE;
  private long offset = NONE;

  /**
   * Processes a response of the store.
   *
   * @param storeMillis the store's clock in the response, in milliseconds
   * @param sentAtMillis monotonic time at which the call was sent
   */
  public synchronized void observe(long storeMillis, long sentAtMillis) {
    if (sentAtMillis - windowStartMillis > WINDOW_MILLIS) {
      windowStartMillis = sentAtMillis;
      previousOffset = offset;
      offset = NONE;
    }
    offset = Math.max(offset, sentAtMillis - storeMillis);
  }

  /**
   * Returns the latest time of the store's clock that a local monotonic time may correspond to, in
   * milliseconds.
   */
  public synchronized long storeMillis(long localMillis) {
    return localMillis - Math.max(offset, previousOffset);
  }

  /**
   * Returns the earliest local monotonic time that a time of the store's clock may correspond to,
   * in milliseconds. Before the first observation it is far in the past.
   */
  public synchronized long localMillis(long storeMillis) {
    return storeMillis + Math.max(offset, previousOffset);
  }
}
