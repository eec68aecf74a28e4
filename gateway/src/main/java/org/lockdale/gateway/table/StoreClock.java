package org.lockdale.gateway.table;

/**
 * Relates the store's steady clock to the monotonic clock of this node, so that a proof of another
 * node can be judged without trust in how long it took to come. Invariant: a time of the store is
 * never taken for a later local time than it was, since each observation counts from when the call
 * was sent. Both clocks need only run at nearly the same rate; old observations are dropped, so
 * that a small difference does not add up. Safe for use by several threads.
 */
public final class StoreClock {

  private static final long WINDOW_MILLIS = 300_000;
  private static final long NONE = Long.MIN_VALUE / 4;

  private long windowStartMillis = NONE;
  private long offsetBefore = NONE;
  private long offset = NONE;

  /**
   * Takes in an answer of the store.
   *
   * @param storeMillis the store's clock as the answer tells it
   * @param sentAtMillis monotonic time at which the call was sent
   */
  public synchronized void observe(long storeMillis, long sentAtMillis) {
    if (sentAtMillis - windowStartMillis > WINDOW_MILLIS) {
      windowStartMillis = sentAtMillis;
      offsetBefore = offset;
      offset = NONE;
    }
    offset = Math.max(offset, sentAtMillis - storeMillis);
  }

  /** Returns the latest time of the store that a monotonic time can have been. */
  public synchronized long storeMillis(long localMillis) {
    return localMillis - Math.max(offset, offsetBefore);
  }

  /** Returns the earliest monotonic time that a time of the store can have been. */
  public synchronized long localMillis(long storeMillis) {
    return storeMillis + Math.max(offset, offsetBefore);
  }
}
