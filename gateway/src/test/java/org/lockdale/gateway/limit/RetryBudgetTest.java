package org.lockdale.gateway.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that retries are limited to a fraction of the requests in a window. */
public final class RetryBudgetTest {

  private static final long WINDOW = 10_000;

  @Test
  public void aPoolWithoutRequestsHasItsAllowanceOnly() {
    RetryBudget budget = RetryBudget.ofNode(0.2, 3, WINDOW);
    for (int retry = 0; retry < 3; retry++) {
      assertTrue(budget.tryRetry("pool", 0));
    }
    assertFalse(budget.tryRetry("pool", 0));
    assertTrue(budget.tryRetry("another", 0), "pools have budgets of their own");
  }

  @Test
  public void retriesKeepToTheirShareInEverySlidingWindow() {
    RetryBudget budget = RetryBudget.ofNode(0.2, 0, WINDOW);
    int granted = 0;
    for (long now = 0; now < WINDOW; now += 10) {
      budget.recordRequest("pool", now);
      granted += budget.tryRetry("pool", now) ? 1 : 0;
    }
    assertEquals(granted, 200);
  }

  /**
   * Guards against an allowance per node that does not depend on the number of nodes: it allowed
   * 316 retries here.
   */
  @Test
  public void manyNodesTogetherKeepToTheBudgetOfTheDeployment() {
    int nodes = 79;
    int slack = 198;
    double ratio = 0.2;
    int requests = 0;
    int retries = 0;
    for (int node = 0; node < nodes; node++) {
      RetryBudget budget = RetryBudget.ofDeployment(ratio, slack, WINDOW, () -> nodes);
      for (int request = 0; request < 4; request++) {
        budget.recordRequest("pool", 0);
        requests++;
      }
      while (budget.tryRetry("pool", 1)) {
        retries++;
      }
    }
    assertTrue(retries <= ratio * requests + slack, retries + " retries");
    assertTrue(retries > 0);
  }

  @Test
  public void requestsOutsideTheWindowAreNotCounted() {
    RetryBudget budget = RetryBudget.ofNode(0, 1, WINDOW);
    assertTrue(budget.tryRetry("pool", 0));
    assertFalse(budget.tryRetry("pool", WINDOW - 1));
    assertTrue(budget.tryRetry("pool", WINDOW));
  }

  @Test
  public void aNodeThatDoesNotKnowTheNumberOfNodesTakesNothingOfTheAllowance() {
    RetryBudget budget = RetryBudget.ofDeployment(0, 50, 10_000, () -> 0);
    assertFalse(budget.tryRetry("pool", 0));
  }
}
