package org.lockdale.gateway.rate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a node sends what its shares of a rate allow, with a small burst. */
public final class RateAllowancesTest {

  private static final String ID = "i-1@1";
  private static final long FOREVER = Long.MAX_VALUE / 2;

  private RateAllowances allowances;

  @BeforeMethod
  public void start() {
    allowances = new RateAllowances(0);
  }

  private int takeAll(long now) {
    int taken = 0;
    while (allowances.tryTake(ID, now)) {
      taken++;
    }
    return taken;
  }

  @Test
  public void aBackendWithoutARateAcceptsAllRequests() {
    assertTrue(allowances.tryTake(ID, 0));
    assertEquals(allowances.waitMillis(ID, 0), 0.0);
  }

  @Test
  public void anAllowanceStartsEmptyAndGainsTheRate() {
    allowances.lent("node", 1, FOREVER, 0);
    allowances.setRate(ID, 4, 0);
    assertEquals(takeAll(0), 0);
    assertEquals(allowances.waitMillis(ID, 0), 250.0, 0.001);
    assertEquals(takeAll(250), 1);
    assertEquals(takeAll(1_000), 3);
  }

  @Test
  public void atMostHalfASecondAndTwoRequestsAccumulate() {
    allowances.lent("node", 1, FOREVER, 0);
    allowances.setRate(ID, 4, 0);
    assertEquals(takeAll(60_000), 4);
  }

  @Test
  public void withoutSharesNothingIsSent() {
    allowances.setRate(ID, 4, 0);
    assertEquals(takeAll(60_000), 0);
    assertEquals(allowances.waitMillis(ID, 60_000), Double.POSITIVE_INFINITY);
  }

  @Test
  public void theAccumulatedLevelOfAShareEndsWithIt() {
    allowances.lent("node", 1, 10_000, 0);
    allowances.setRate(ID, 4, 0);
    allowances.lent("other", 1, FOREVER, 20_000);
    assertEquals(takeAll(20_000), 0);
  }

  /**
   * An isolated node of seven sends a seventh of the rate; one of seventy-nine never accumulates a
   * full request.
   */
  @Test
  public void anIsolatedNodeSendsItsShareIfAllSuchNodesTogetherAreTolerated() {
    allowances.lent("node", 1 / 7.0, FOREVER, 0);
    allowances.setRate(ID, 4, 0);
    assertFalse(allowances.hasRoom(ID, 1_700));
    assertEquals(takeAll(1_760), 1);
    allowances.lent("node", 1 / 79.0, FOREVER, 1_760);
    assertEquals(takeAll(600_000), 0);
  }

  @Test
  public void aBackendThatAcceptsNothingIsSentOccasionalRequests() {
    allowances.lent("node", 1, FOREVER, 0);
    allowances.setRate(ID, 0, 0);
    assertEquals(takeAll(3_900), 0);
    assertEquals(takeAll(4_000), 1);
  }

  @Test
  public void aLowerRateReducesTheAccumulatedAllowance() {
    allowances.lent("node", 1, FOREVER, 0);
    allowances.setRate(ID, 40, 0);
    allowances.setRate(ID, 2, 10_000);
    assertEquals(takeAll(10_000), 3);
  }

  /**
   * Tests that at most the tolerated number of requests is sent in four seconds, however the shares
   * are distributed.
   */
  @Test
  public void allNodesTogetherAreToleratedHoweverSharesAreDistributed() {
    for (double perSecond : new double[] {0, 0.3, 1, 3.9, 30, 900}) {
      for (int nodes : new int[] {1, 2, 7, 9, 20, 79, 390}) {
        RateBound bound = new RateBound(perSecond);
        double burst = nodes * bound.capacity(1.0 / nodes);
        double inWindow = burst + 4 * bound.perSecond();
        assertTrue(
            inWindow <= 1.5 * perSecond * 4 + 5, perSecond + " a second, " + nodes + " nodes");
      }
    }
  }
}
