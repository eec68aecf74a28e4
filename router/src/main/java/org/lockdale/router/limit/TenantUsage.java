package org.lockdale.router.limit;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.lockdale.router.policy.TenantLimit;

/** What one tenant uses of its limits at this node. Safe for use by several threads. */
public final class TenantUsage {

  private static final long WINDOW_MILLIS = 1_000;
  private static final int COUNT_BITS = 24;
  private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final RetryBudget retryBudget = new RetryBudget();

  /** Number of the current second in the high bits, requests in it in the low ones. */
  private final AtomicLong window = new AtomicLong();

  /**
   * Takes a place for one request; {@link #release} must follow where it was granted.
   *
   * @return whether the limits leave room
   */
  public boolean tryAcquire(TenantLimit limit, long nowMillis) {
    if (inFlight.incrementAndGet() > limit.maxInFlight()) {
      inFlight.decrementAndGet();
      return false;
    }
    if (!countInWindow(limit.requestsPerSecond(), nowMillis)) {
      inFlight.decrementAndGet();
      return false;
    }
    return true;
  }

  private boolean countInWindow(int most, long nowMillis) {
    long second = nowMillis / WINDOW_MILLIS;
    while (true) {
      long before = window.get();
      long count = before >>> COUNT_BITS == second ? before & COUNT_MASK : 0;
      if (count >= most) {
        return false;
      }
      if (window.compareAndSet(before, second << COUNT_BITS | count + 1)) {
        return true;
      }
    }
  }

  /** Gives the place of a request back. */
  public void release() {
    inFlight.decrementAndGet();
  }

  /** Returns requests in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the tenant's budget for retries. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }
}
