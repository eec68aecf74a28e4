package org.lockdale.router.limit;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.lockdale.router.policy.TenantLimit;

/** Usage of one tenant's limits at this node. Safe for use by several threads. */
public final class TenantUsage {

  private static final long WINDOW_MILLIS = 1_000;
  private static final int COUNT_BITS = 24;
  private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final RetryBudget retryBudget = new RetryBudget();

  /** Number of the current second in the high bits, number of its requests in the low bits. */
  private final AtomicLong window = new AtomicLong();

  /**
   * Acquires a slot for one request; if granted, it must be released by {@link #release}.
   *
   * @return whether the request is within the limits
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

  private boolean countInWindow(int maxRequests, long nowMillis) {
    long second = nowMillis / WINDOW_MILLIS;
    while (true) {
      long before = window.get();
      long count = before >>> COUNT_BITS == second ? before & COUNT_MASK : 0;
      if (count >= maxRequests) {
        return false;
      }
      if (window.compareAndSet(before, second << COUNT_BITS | count + 1)) {
        return true;
      }
    }
  }

  /** Releases the slot of a request. */
  public void release() {
    inFlight.decrementAndGet();
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the tenant's retry budget. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }
}
