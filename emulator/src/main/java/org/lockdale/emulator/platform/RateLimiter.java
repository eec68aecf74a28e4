package org.lockdale.emulator.platform;

import org.lockdale.coordination.time.Time;

/** Limits requests in consecutive windows of one second. Safe for use by several threads. */
final class RateLimiter {

  private static final long WINDOW_MILLIS = 1_000;

  private final Time time;
  private long windowStart;
  private int used;

  RateLimiter(Time time) {
    this.time = time;
    this.windowStart = time.monotonicMillis();
  }

  /**
   * Counts a request and returns whether it is within the limit.
   *
   * @param perSecond limit in requests a second, or 0 for none
   */
  synchronized boolean tryAcquire(int perSecond) {
    if (perSecond <= 0) {
      return true;
    }
    long now = time.monotonicMillis();
    if (now - windowStart >= WINDOW_MILLIS) {
      windowStart = now;
      used = 0;
    }
    used++;
    return used <= perSecond;
  }
}
