package org.lockdale.gateway.rate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import java.util.Set;
import org.lockdale.gateway.backend.RateStatement;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Of answers in any order, the one that was written last tells the rate. */
public final class StatedRatesTest {

  private static final String ID = "i-1@1";

  private StatedRates rates;

  @BeforeMethod
  public void start() {
    rates = new StatedRates();
  }

  private StatedRates.Change named(double perSecond, long sentAt, long heardAt) {
    return rates.stated(ID, new RateStatement.Limited(perSecond), sentAt, heardAt);
  }

  private StatedRates.Change nothingNamed(long sentAt, long heardAt) {
    return rates.stated(ID, RateStatement.NONE, sentAt, heardAt);
  }

  @Test
  public void aRateHoldsUntilALaterAnswerNamesNone() {
    assertEquals(named(4, 0, 10), StatedRates.Change.LIMITED);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
    assertEquals(nothingNamed(11, 20), StatedRates.Change.ENDED);
    assertEquals(rates.perSecond(ID), OptionalDouble.empty());
  }

  @Test
  public void anAnswerThatMayHaveBeenWrittenBeforeEndsNothing() {
    named(4, 0, 10);
    assertEquals(nothingNamed(9, 20), StatedRates.Change.NONE);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
  }

  @Test
  public void ofAnswersInEitherOrderTheLeastRateHolds() {
    named(4, 0, 10);
    named(6, 5, 12);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
    named(2, 5, 11);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(2));
  }

  /** Each answer's request is sent before the answer before it is heard. */
  @Test
  public void aRateIsRaisedAndEndedAlsoWhereAnswersAlwaysOverlap() {
    for (long at = 0; at < 2_000; at += 100) {
      named(4, at, at + 500);
    }
    for (long at = 2_000; at < 4_000; at += 100) {
      named(8, at, at + 500);
    }
    assertEquals(rates.perSecond(ID), OptionalDouble.of(8));
    for (long at = 4_000; at < 6_000; at += 100) {
      nothingNamed(at, at + 500);
    }
    assertEquals(rates.perSecond(ID), OptionalDouble.empty());
  }

  @Test
  public void anAnswerOfTheTimeBeforeTheEndLimitsNothing() {
    named(4, 0, 10);
    nothingNamed(20, 30);
    assertEquals(named(4, 2, 15), StatedRates.Change.NONE);
    assertEquals(rates.perSecond(ID), OptionalDouble.empty());
  }

  @Test
  public void whatCannotBeReadLeavesTheLastRate() {
    assertEquals(
        rates.stated(ID, new RateStatement.Unreadable("many"), 0, 10), StatedRates.Change.NONE);
    named(4, 20, 30);
    rates.stated(ID, new RateStatement.Unreadable("many"), 40, 50);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
  }

  @Test
  public void backEndsThatAreGoneAndLimitsThatEndedLongAgoAreForgotten() {
    named(4, 0, 10);
    rates.retain(Set.of(ID), 100_000);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
    nothingNamed(20, 30);
    rates.retain(Set.of(ID), 100_000);
    assertTrue(rates.isEmpty());
    named(4, 40, 50);
    rates.retain(Set.of("i-1@2"), 60);
    assertTrue(rates.isEmpty());
  }

  @Test(expectedExceptions = IllegalArgumentException.class)
  public void aRateIsANumber() {
    new RateStatement.Limited(Double.NaN);
  }
}
