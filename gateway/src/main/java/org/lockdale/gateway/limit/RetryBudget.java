package org.lockdale.gateway.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds repeated sends to each pool within a sliding window to a share of this node's own requests
 * for it. Since every node keeps to the share of its own requests, the sum over all nodes keeps to
 * the share of all requests, without a message between them. Safe for use by several threads.
 */
public final class RetryBudget {

  private static final class PoolWindow {
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> retries = new ArrayDeque<>();
  }

  private final double ratio;
  private final int allowance;
  private final long windowMillis;
  private final Map<String, PoolWindow> windows = new HashMap<>();

  /**
   * Creates a budget.
   *
   * @param ratio most retries a request
   * @param allowance retries that are allowed in a window whatever the number of requests
   * @param windowMillis length of the window
   */
  public RetryBudget(double ratio, int allowance, long windowMillis) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMillis = windowMillis;
  }

  /** Notes a request for a pool. */
  public synchronized void requested(String pool, long nowMillis) {
    PoolWindow window = window(pool, nowMillis);
    window.requests.addLast(nowMillis);
  }

  /** Takes one retry; false where the budget is used up. */
  public synchronized boolean tryRetry(String pool, long nowMillis) {
    PoolWindow window = window(pool, nowMillis);
    if (window.retries.size() + 1 > ratio * window.requests.size() + allowance) {
      return false;
    }
    window.retries.addLast(nowMillis);
    return true;
  }

  private PoolWindow window(String pool, long nowMillis) {
    PoolWindow window = windows.computeIfAbsent(pool, name -> new PoolWindow());
    expire(window.requests, nowMillis);
    expire(window.retries, nowMillis);
    return window;
  }

  private void expire(Deque<Long> times, long nowMillis) {
    while (!times.isEmpty() && nowMillis - times.peekFirst() >= windowMillis) {
      times.removeFirst();
    }
  }
}
