package org.lockdale.router.limit;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds retries to a share of successes, so that a failing pool of engines is not met with a
 * multiple of its traffic. Safe for use by several threads.
 */
public final class RetryBudget {

  /** One retry costs what this many successes bring. */
  private static final int SUCCESSES_PER_RETRY = 5;

  private static final int MAX_SAVED_RETRIES = 20;

  private final AtomicInteger credit = new AtomicInteger(MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY);

  /** Notes a request that succeeded at its first attempt. */
  public void succeeded() {
    credit.updateAndGet(before -> Math.min(before + 1, MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY));
  }

  /** Takes one retry from the budget; false where it is used up. */
  public boolean tryRetry() {
    int before =
        credit.getAndUpdate(
            value -> value >= SUCCESSES_PER_RETRY ? value - SUCCESSES_PER_RETRY : value);
    return before >= SUCCESSES_PER_RETRY;
  }
}
