package org.lockdale.gateway.backend;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Backoff that a backend has requested from this node: until it ends, the node sends no request to
 * the backend. Neither a later request for a shorter backoff nor a request served in the meantime
 * shortens it. Safe for use by several threads.
 */
public final class BackendBackoff {

  private static final long NEVER = Long.MIN_VALUE;

  private final AtomicLong untilMillis = new AtomicLong(NEVER);

  /**
   * Records that the backend requests a backoff.
   *
   * @param millis length of the backoff from now on, in milliseconds
   * @param nowMillis monotonic time in milliseconds
   * @return whether this starts or extends the backoff
   */
  public boolean extend(long millis, long nowMillis) {
    long until = nowMillis + millis;
    return untilMillis.getAndAccumulate(until, Math::max) < until;
  }

  /** Returns whether a backoff is in effect. */
  public boolean isActive(long nowMillis) {
    return nowMillis < untilMillis.get();
  }

  /** Returns the time until the backoff ends, in milliseconds; 0 where there is none. */
  public long remainingMillis(long nowMillis) {
    long until = untilMillis.get();
    return until == NEVER ? 0 : Math.max(0, until - nowMillis);
  }
}
