package org.lockdale.gateway.rate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the response written last determines the rate, in whatever order responses arrive. */
public final class AdvertisedRatesTest {

  private static final String ID = "i-1@1";

  private AdvertisedRates rates;

  @BeforeMethod
  public void start() {
    rates = new AdvertisedRates();
  }

  private AdvertisedRates.Change recordRate(double perSecond, long sentAt, long receivedAt) {
    return rates.record(ID, new AdvertisedRate.Limited(perSecond), sentAt, receivedAt);
  }

  private AdvertisedRates.Change recordNone(long sentAt, long receivedAt) {
    return rates.record(ID, AdvertisedRate.NONE, sentAt, receivedAt);
  }

  @Test
  public void aRateAppliesUntilALaterResponseHasNone() {
    assertEquals(recordRate(4, 0, 10), AdvertisedRates.Change.LIMITED);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
    assertEquals(recordNone(11, 20), AdvertisedRates.Change.ENDED);
    assertEquals(rates.perSecond(ID), OptionalDouble.empty());
  }

  @Test
  public void aResponseThatMayHaveBeenWrittenEarlierEndsNoLimit() {
    recordRate(4, 0, 10);
    assertEquals(recordNone(9, 20), AdvertisedRates.Change.NONE);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
  }

  @Test
  public void theLowestRateAppliesAmongResponsesInUnknownOrder() {
    recordRate(4, 0, 10);
    recordRate(6, 5, 12);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
    recordRate(2, 5, 11);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(2));
  }

  /**
   * Guards against limits that never change when the request of each response is sent before the
   * previous response is received.
   */
  @Test
  public void aRateIsRaisedAndEndedAlsoWhereResponsesAlwaysOverlap() {
    for (long at = 0; at < 2_000; at += 100) {
      recordRate(4, at, at + 500);
    }
    for (long at = 2_000; at < 4_000; at += 100) {
      recordRate(8, at, at + 500);
    }
    assertEquals(rates.perSecond(ID), OptionalDouble.of(8));
    for (long at = 4_000; at < 6_000; at += 100) {
      recordNone(at, at + 500);
    }
    assertEquals(rates.perSecond(ID), OptionalDouble.empty());
  }

  @Test
  public void aResponseWrittenBeforeTheEndLimitsNothing() {
    recordRate(4, 0, 10);
    recordNone(20, 30);
    assertEquals(recordRate(4, 2, 15), AdvertisedRates.Change.NONE);
    assertEquals(rates.perSecond(ID), OptionalDouble.empty());
  }

  @Test
  public void anUnreadableRateKeepsThePreviousOne() {
    assertEquals(
        rates.record(ID, new AdvertisedRate.Unreadable("many"), 0, 10),
        AdvertisedRates.Change.NONE);
    recordRate(4, 20, 30);
    rates.record(ID, new AdvertisedRate.Unreadable("many"), 40, 50);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
  }

  @Test
  public void backendsThatAreGoneAndLimitsThatEndedLongAgoAreForgotten() {
    recordRate(4, 0, 10);
    rates.retain(Set.of(ID), 100_000);
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
    recordNone(20, 30);
    rates.retain(Set.of(ID), 100_000);
    assertTrue(rates.isEmpty());
    recordRate(4, 40, 50);
    rates.retain(Set.of("i-1@2"), 60);
    assertTrue(rates.isEmpty());
  }

  @Test
  public void theRateOfAnIncarnationIsKeptWhileItsRecordIsMissing() {
    recordRate(4, 0, 10);
    for (long at = 0; at < 599_000; at += 500) {
      assertEquals(rates.retain(Set.of("i-2@1"), at), Map.of());
    }
    assertEquals(rates.perSecond(ID), OptionalDouble.of(4));
    rates.retain(Set.of(ID), 599_500);
    rates.retain(Set.of(), 600_000);
    assertEquals(rates.retain(Set.of(), 1_199_000), Map.of());
    assertEquals(rates.retain(Set.of(), 1_200_000), Map.of(ID, 4.0));
    assertTrue(rates.isEmpty());
  }

  @Test
  public void anEarlierIncarnationsRecordDoesNotEndARate() {
    rates.record("i-1@2", new AdvertisedRate.Limited(4), 0, 10);
    rates.retain(Set.of("i-1@1"), 500);
    assertEquals(rates.perSecond("i-1@2"), OptionalDouble.of(4));
  }

  @Test
  public void theRatesOfAtMost256BackendsWithoutARecordAreKept() {
    for (int server = 0; server < 300; server++) {
      rates.record("i-" + server + "@1", new AdvertisedRate.Limited(4), 0, 10);
      rates.retain(Set.of(), server);
    }
    assertEquals(rates.limited().size(), 256);
    assertEquals(rates.perSecond("i-43@1"), OptionalDouble.empty());
    assertEquals(rates.perSecond("i-44@1"), OptionalDouble.of(4));
  }

  @Test
  public void aBackendWithoutARecordIsInUseForTenSeconds() {
    recordRate(4, 0, 10);
    rates.retain(Set.of(), 500);
    assertTrue(rates.isAnyInUseLimited(10_499));
    assertFalse(rates.isAnyInUseLimited(10_500));
  }

  @Test(expectedExceptions = IllegalArgumentException.class)
  public void aRateIsANumber() {
    new AdvertisedRate.Limited(Double.NaN);
  }
}
