package org.lockdale.gateway.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.ToLongFunction;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Limits the retries at each pool within a sliding window to a fraction of this node's requests for
 * the pool, plus this node's share of a fixed allowance. As every node keeps to its share, all
 * nodes together keep to the budget of the deployment without exchanging messages. Thread-safe.
 */
public final class RetryBudget {

  private static final class PoolWindow {
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Retry> retries = new ArrayDeque<>();
    long denied;
    long loggedAtMillis = NEVER;
  }

  /** A retry that the budget has allowed. */
  public static final class Retry {
    private final String pool;
    private long countedAtMillis;

    private Retry(String pool, long grantedAtMillis) {
      this.pool = pool;
      this.countedAtMillis = grantedAtMillis;
    }
  }

  /** Fraction of the deployment's ratio that is used, except in the first window of a process. */
  private static final double RATIO_FRACTION = 0.75;

  /**
   * Fraction of the deployment's ratio that is used in the first window of a process. The process
   * before it may have spent {@link #RATIO_FRACTION} just before it ended, for requests that came
   * before the window in which both retry; together they keep to the ratio.
   */
  private static final double FIRST_WINDOW_RATIO_FRACTION = 1 - RATIO_FRACTION;

  /**
   * Fraction of the deployment's allowance that is used in steady state. The rest is for nodes that
   * restart, and for a number of nodes that has just changed.
   */
  private static final double ALLOWANCE_FRACTION = 0.5;

  /**
   * Number of times that a node may restart within a window without exceeding the budget. A process
   * does not know what the one before it has spent, so it takes this part of its share only until
   * it has counted for a whole window.
   */
  private static final int RESTARTS_PER_WINDOW = 4;

  private static final long MIN_LOG_INTERVAL_MILLIS = 1_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final double ratio;
  private final double firstWindowRatio;
  private final DoubleSupplier allowance;
  private final long windowMillis;
  private final double firstWindowAllowanceFraction;
  private final Time time;
  private final long createdAtMillis;
  private final Map<String, PoolWindow> windows = new HashMap<>();

  private RetryBudget(
      double ratio,
      double firstWindowRatio,
      DoubleSupplier allowance,
      long windowMillis,
      double firstWindowAllowanceFraction,
      Time time) {
    this.ratio = ratio;
    this.firstWindowRatio = firstWindowRatio;
    this.allowance = allowance;
    this.windowMillis = windowMillis;
    this.firstWindowAllowanceFraction = firstWindowAllowanceFraction;
    this.time = time;
    this.createdAtMillis = now();
  }

  /**
   * Returns the budget of a single node.
   *
   * @param ratio maximum number of retries per request
   * @param allowance number of retries allowed in each window regardless of the number of requests
   * @param windowMillis length of the window, in milliseconds
   * @param time clock
   */
  public static RetryBudget ofNode(double ratio, double allowance, long windowMillis, Time time) {
    return new RetryBudget(ratio, ratio, () -> allowance, windowMillis, 1, time);
  }

  /**
   * Returns a node's share of the budget of a deployment. In its first window it takes a part of
   * the ratio and of its allowance only, since what the process before it has spent is not known:
   * in any window, all processes that a node runs one after the other keep to the ratio and spend
   * twice its allowance.
   *
   * @param ratio maximum number of retries per request, for all nodes together
   * @param allowance number of retries that all nodes together may make in each window regardless
   *     of the number of requests
   * @param windowMillis length of the window, in milliseconds
   * @param nodes supplies the number of nodes, or 0 while it is unknown; a node that has just
   *     started gets no allowance then, as it would otherwise use all of it
   * @param time clock
   */
  public static RetryBudget ofDeployment(
      double ratio, double allowance, long windowMillis, IntSupplier nodes, Time time) {
    return new RetryBudget(
        ratio * RATIO_FRACTION,
        ratio * FIRST_WINDOW_RATIO_FRACTION,
        () -> shareOf(allowance * ALLOWANCE_FRACTION, nodes.getAsInt()),
        windowMillis,
        1.0 / RESTARTS_PER_WINDOW,
        time);
  }

  private static double shareOf(double allowance, int nodes) {
    return nodes == 0 ? 0 : allowance / nodes;
  }

  /** Records a request for a pool. */
  public synchronized void recordRequest(String pool) {
    long now = now();
    window(pool, now).requests.addLast(now);
  }

  /**
   * Consumes one retry from the budget.
   *
   * @return the retry, or empty if the budget does not allow it
   */
  public synchronized Optional<Retry> tryRetry(String pool) {
    long now = now();
    PoolWindow window = window(pool, now);
    if (window.retries.size() + 1 > ratioAt(now) * window.requests.size() + allowanceAt(now)) {
      logDenied(pool, window, now);
      return Optional.empty();
    }
    Retry retry = new Retry(pool, now);
    window.retries.addLast(retry);
    return Optional.of(retry);
  }

  /**
   * Records that a retry is sent now. Until then it is counted at the time at which it was allowed;
   * backends count it when it arrives, which is later if it has waited for a backend.
   */
  public synchronized void recordSent(Retry retry) {
    long now = now();
    Deque<Retry> retries = window(retry.pool, now).retries;
    retries.remove(retry);
    retry.countedAtMillis = now;
    retries.addLast(retry);
  }

  private void logDenied(String pool, PoolWindow window, long nowMillis) {
    window.denied++;
    if (nowMillis - window.loggedAtMillis < MIN_LOG_INTERVAL_MILLIS) {
      return;
    }
    window.loggedAtMillis = nowMillis;
    Logger.info(
        "event=retries-used-up pool={} retries={} requests={} allowance={} up-ms={} denied={}",
        pool,
        window.retries.size(),
        window.requests.size(),
        allowanceAt(nowMillis),
        nowMillis - createdAtMillis,
        window.denied);
    window.denied = 0;
  }

  private double ratioAt(long nowMillis) {
    return isInFirstWindow(nowMillis) ? firstWindowRatio : ratio;
  }

  private double allowanceAt(long nowMillis) {
    return allowance.getAsDouble()
        * (isInFirstWindow(nowMillis) ? firstWindowAllowanceFraction : 1);
  }

  private boolean isInFirstWindow(long nowMillis) {
    return nowMillis - createdAtMillis < windowMillis;
  }

  /** Uses the steady clock: others jump when the wall clock is set, which would empty windows. */
  private long now() {
    return time.steadyMillis();
  }

  private PoolWindow window(String pool, long nowMillis) {
    PoolWindow window = windows.computeIfAbsent(pool, name -> new PoolWindow());
    expire(window.requests, at -> at, nowMillis);
    expire(window.retries, retry -> retry.countedAtMillis, nowMillis);
    return window;
  }

  private <T> void expire(Deque<T> entries, ToLongFunction<T> timeOf, long nowMillis) {
    while (!entries.isEmpty()
        && nowMillis - timeOf.applyAsLong(entries.peekFirst()) >= windowMillis) {
      entries.removeFirst();
    }
  }
}
