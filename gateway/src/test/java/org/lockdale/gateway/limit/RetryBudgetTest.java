package org.lockdale.gateway.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.lockdale.coordination.simulation.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that retries are limited to a fraction of the requests in a window. */
public final class RetryBudgetTest {

  private static final long WINDOW = 10_000;

  private VirtualTime time;

  @BeforeMethod
  public void start() {
    time = new VirtualTime();
  }

  private void setMillis(long millis) {
    time.runUntil(millis * 1_000);
  }

  @Test
  public void aPoolWithoutRequestsHasItsAllowanceOnly() {
    RetryBudget budget = RetryBudget.ofNode(0.2, 3, WINDOW, time);
    for (int retry = 0; retry < 3; retry++) {
      assertTrue(budget.tryRetry("pool"));
    }
    assertFalse(budget.tryRetry("pool"));
    assertTrue(budget.tryRetry("another"), "pools have budgets of their own");
  }

  @Test
  public void retriesKeepToTheirShareInEverySlidingWindow() {
    RetryBudget budget = RetryBudget.ofNode(0.2, 0, WINDOW, time);
    int granted = 0;
    for (long now = 0; now < WINDOW; now += 10) {
      setMillis(now);
      budget.recordRequest("pool");
      granted += budget.tryRetry("pool") ? 1 : 0;
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
    List<RetryBudget> budgets =
        IntStream.range(0, nodes)
            .mapToObj(node -> RetryBudget.ofDeployment(ratio, slack, WINDOW, () -> nodes, time))
            .toList();
    setMillis(WINDOW);
    for (RetryBudget budget : budgets) {
      for (int request = 0; request < 4; request++) {
        budget.recordRequest("pool");
        requests++;
      }
      while (budget.tryRetry("pool")) {
        retries++;
      }
    }
    assertTrue(retries <= ratio * requests + slack, retries + " retries");
    assertTrue(retries > 0);
  }

  @Test
  public void requestsOutsideTheWindowAreNotCounted() {
    RetryBudget budget = RetryBudget.ofNode(0, 1, WINDOW, time);
    assertTrue(budget.tryRetry("pool"));
    setMillis(WINDOW - 1);
    assertFalse(budget.tryRetry("pool"));
    setMillis(WINDOW);
    assertTrue(budget.tryRetry("pool"));
  }

  @Test
  public void aNodeThatDoesNotKnowTheNumberOfNodesTakesNothingOfTheAllowance() {
    RetryBudget budget = RetryBudget.ofDeployment(0, 50, WINDOW, () -> 0, time);
    assertFalse(budget.tryRetry("pool"));
  }
}
