package org.lockdale.gateway.rate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A node sends what its shares of a rate allow, and saves up little. */
public final class RateAllowancesTest {

  private static final String ID = "i-1@1";
  private static final long FOR_EVER = Long.MAX_VALUE / 2;

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
  public void aBackEndWithoutARateTakesAll() {
    assertTrue(allowances.tryTake(ID, 0));
    assertEquals(allowances.waitMillis(ID, 0), 0.0);
  }

  @Test
  public void aCountBeginsEmptyAndGainsTheRate() {
    allowances.lent("node", 1, FOR_EVER, 0);
    allowances.limit(ID, 4, 0);
    assertEquals(takeAll(0), 0);
    assertEquals(allowances.waitMillis(ID, 0), 250.0, 0.001);
    assertEquals(takeAll(250), 1);
    assertEquals(takeAll(1_000), 3);
  }

  @Test
  public void noMoreIsSavedUpThanHalfASecondAndTwoRequests() {
    allowances.lent("node", 1, FOR_EVER, 0);
    allowances.limit(ID, 4, 0);
    assertEquals(takeAll(60_000), 4);
  }

  @Test
  public void withoutSharesNothingIsSent() {
    allowances.limit(ID, 4, 0);
    assertEquals(takeAll(60_000), 0);
    assertEquals(allowances.waitMillis(ID, 60_000), Double.POSITIVE_INFINITY);
  }

  @Test
  public void whatAShareHadSavedUpGoesWithIt() {
    allowances.lent("node", 1, 10_000, 0);
    allowances.limit(ID, 4, 0);
    allowances.lent("other", 1, FOR_EVER, 20_000);
    assertEquals(takeAll(20_000), 0);
  }

  /** A node of seven by itself sends its seventh; one of seventy-nine would never be even. */
  @Test
  public void aNodeByItselfSendsItsPartWhereAllSuchNodesTogetherAreBorne() {
    allowances.lent("node", 1 / 7.0, FOR_EVER, 0);
    allowances.limit(ID, 4, 0);
    assertFalse(allowances.hasRoom(ID, 1_700));
    assertEquals(takeAll(1_760), 1);
    allowances.lent("node", 1 / 79.0, FOR_EVER, 1_760);
    assertEquals(takeAll(600_000), 0);
  }

  @Test
  public void aBackEndThatTakesNothingIsAskedNowAndThen() {
    allowances.lent("node", 1, FOR_EVER, 0);
    allowances.limit(ID, 0, 0);
    assertEquals(takeAll(3_900), 0);
    assertEquals(takeAll(4_000), 1);
  }

  @Test
  public void aLowerRateCutsWhatWasSavedUp() {
    allowances.lent("node", 1, FOR_EVER, 0);
    allowances.limit(ID, 40, 0);
    allowances.limit(ID, 2, 10_000);
    assertEquals(takeAll(10_000), 3);
  }

  /** However the shares lie, four seconds pass no more than a back end bears. */
  @Test
  public void allNodesTogetherAreBorneHoweverSharesLie() {
    for (double perSecond : new double[] {0, 0.3, 1, 3.9, 30, 900}) {
      for (int nodes : new int[] {1, 2, 7, 9, 20, 79, 390}) {
        RateBound bound = new RateBound(perSecond);
        double saved = nodes * bound.capacity(1.0 / nodes);
        double inWindow = saved + 4 * bound.perSecond();
        assertTrue(
            inWindow <= 1.5 * perSecond * 4 + 5, perSecond + " a second, " + nodes + " nodes");
      }
    }
  }
}
