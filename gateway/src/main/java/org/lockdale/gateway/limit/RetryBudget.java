package org.lockdale.gateway.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/**
 * Bounds repeated sends to each pool within a sliding window to a share of this node's own requests
 * for it, and its part of what is allowed whatever their number. Since every node keeps to its
 * part, the sum over all nodes keeps to the budget of the deployment, without a message between
 * them. Safe for use by several threads.
 */
public final class RetryBudget {

  private static final class PoolWindow {
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> retries = new ArrayDeque<>();
  }

  private final double ratio;
  private final DoubleSupplier allowance;
  private final long windowMillis;
  private final Map<String, PoolWindow> windows = new HashMap<>();

  /** Part of the deployment's ratio that is used, since its windows and the nodes' differ. */
  private static final double RATIO_SHARE = 0.75;

  /** Part of the deployment's allowance that is used, since nodes may have just come or gone. */
  private static final double ALLOWANCE_SHARE = 0.5;

  private RetryBudget(double ratio, DoubleSupplier allowance, long windowMillis) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMillis = windowMillis;
  }

  /**
   * Returns a budget of one node.
   *
   * @param ratio most retries a request
   * @param allowance retries that are allowed in a window whatever the number of requests
   * @param windowMillis length of the window
   */
  public static RetryBudget ofNode(double ratio, double allowance, long windowMillis) {
    return new RetryBudget(ratio, () -> allowance, windowMillis);
  }

  /**
   * Returns a node's part of the budget of a deployment.
   *
   * @param ratio most retries a request, for all nodes together
   * @param allowance retries that all nodes together may make in a window whatever the number of
   *     requests
   * @param windowMillis length of the window
   * @param nodes tells the number of nodes, or 0 while it is not known; a node that has just
   *     started would take the whole allowance for its own otherwise
   */
  public static RetryBudget ofDeployment(
      double ratio, double allowance, long windowMillis, IntSupplier nodes) {
    return new RetryBudget(
        ratio * RATIO_SHARE,
        () -> shareOf(allowance * ALLOWANCE_SHARE, nodes.getAsInt()),
        windowMillis);
  }

  private static double shareOf(double allowance, int nodes) {
    return nodes == 0 ? 0 : allowance / nodes;
  }

  /** Notes a request for a pool. */
  public synchronized void requested(String pool, long nowMillis) {
    PoolWindow window = window(pool, nowMillis);
    window.requests.addLast(nowMillis);
  }

  /** Takes one retry; false where the budget is used up. */
  public synchronized boolean tryRetry(String pool, long nowMillis) {
    PoolWindow window = window(pool, nowMillis);
    if (window.retries.size() + 1 > ratio * window.requests.size() + allowance.getAsDouble()) {
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
