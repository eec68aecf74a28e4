package org.lockdale.gateway.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Retries are bounded to a share of the requests of a window. */
public final class RetryBudgetTest {

  private static final long WINDOW = 10_000;

  @Test
  public void aPoolWithoutRequestsHasItsAllowanceOnly() {
    RetryBudget budget = new RetryBudget(0.2, 3, WINDOW);
    for (int retry = 0; retry < 3; retry++) {
      assertTrue(budget.tryRetry("pool", 0));
    }
    assertFalse(budget.tryRetry("pool", 0));
    assertTrue(budget.tryRetry("another", 0), "pools have budgets of their own");
  }

  @Test
  public void retriesKeepToTheirShareInEverySlidingWindow() {
    RetryBudget budget = new RetryBudget(0.2, 0, WINDOW);
    int granted = 0;
    for (long now = 0; now < WINDOW; now += 10) {
      budget.requested("pool", now);
      granted += budget.tryRetry("pool", now) ? 1 : 0;
    }
    assertEquals(granted, 200);
  }

  @Test
  public void whatLeavesTheWindowNoLongerCounts() {
    RetryBudget budget = new RetryBudget(0, 1, WINDOW);
    assertTrue(budget.tryRetry("pool", 0));
    assertFalse(budget.tryRetry("pool", WINDOW - 1));
    assertTrue(budget.tryRetry("pool", WINDOW));
  }
}
