package org.lockdale.router.limit;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits retries to a fraction of successful requests, so that retries do not multiply the traffic
 * to a failing pool of engines. Safe for use by several threads.
 */
public final class RetryBudget {

  /** Number of successful requests that earn one retry. */
  private static final int SUCCESSES_PER_RETRY = 5;

  private static final int MAX_STORED_RETRIES = 20;

  private final AtomicInteger credit = new AtomicInteger(MAX_STORED_RETRIES * SUCCESSES_PER_RETRY);

  /** Records a request that succeeded at its first attempt. */
  public void recordSuccess() {
    credit.updateAndGet(before -> Math.min(before + 1, MAX_STORED_RETRIES * SUCCESSES_PER_RETRY));
  }

  /** Takes one retry from the budget; returns false if it is used up. */
  public boolean tryRetry() {
    int before =
        credit.getAndUpdate(
            value -> value >= SUCCESSES_PER_RETRY ? value - SUCCESSES_PER_RETRY : value);
    return before >= SUCCESSES_PER_RETRY;
  }
}
