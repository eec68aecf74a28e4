package org.lockdale.gateway.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.Test;

/** Tests that buckets gain and hold what the borrowed shares allow. */
public final class TenantBucketsTest {

  private static final String TENANT = "tenant-one";
  private static final Allowance ALLOWANCE = new Allowance(1.0, 1_000, 500, 300);
  private static final long FOREVER = 1_000_000;
  private static final long WINDOW = 8_000;

  /** Time after which a reserve may be used again, in milliseconds. */
  private static final long REUSE = WINDOW + Allowance.MAX_RETURN_MILLIS;

  private static TenantBuckets buckets() {
    TenantBuckets buckets = new TenantBuckets(WINDOW, 0);
    buckets.setAllowances(Map.of(TENANT, ALLOWANCE), 0);
    return buckets;
  }

  private static boolean takes(TenantBuckets buckets, double amount, long nowMillis) {
    return buckets.take(TENANT, amount, nowMillis).isEmpty();
  }

  @Test
  public void bucketsStartEmptyAndGainAsSharesAllow() {
    TenantBuckets buckets = buckets();
    assertFalse(takes(buckets, 1, 100));
    buckets.lent("a", 0.5, FOREVER, 100);
    assertTrue(takes(buckets, 100, 300));
    assertFalse(takes(buckets, 6, 310));
  }

  @Test
  public void aBucketHoldsNoMoreThanTheSharesAllow() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 0.25, FOREVER, 0);
    assertTrue(takes(buckets, 250, 10_000));
    assertFalse(takes(buckets, 1, 10_000));
  }

  @Test
  public void anEndedLoanTakesItsPartOfTheLevelAlong() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 0.5, FOREVER, 0);
    buckets.lent("b", 0.5, 5_000, 0);
    assertEquals(buckets.share(0), 1.0);
    assertFalse(takes(buckets, 501, 5_000));
    assertTrue(takes(buckets, 500, 6_000));
  }

  @Test
  public void aReturningShareAddsNoLevel() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 0.5, FOREVER, 0);
    buckets.lent("b", 0.5, 5_000, 0);
    buckets.lent("b", 0.5, FOREVER, 5_001);
    assertFalse(takes(buckets, 502, 5_001));
  }

  @Test
  public void aLoanThatCameTooLateIsIgnored() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 1.0, 1_000, 1_000);
    assertFalse(takes(buckets, 1, 2_000));
  }

  @Test
  public void retryTimeIsTheTimeUntilTheRequestFits() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 1.0, FOREVER, 0);
    assertEquals(buckets.take(TENANT, 400, 200).orElseThrow(), 200);
    assertTrue(takes(buckets, 400, 400));
  }

  /** Callers wait for the time that they are given, so a long one would delay them needlessly. */
  @Test
  public void retryTimeIsShortWhileSharesAreMissing() {
    TenantBuckets buckets = buckets();
    assertEquals(buckets.take(TENANT, 10, 200).orElseThrow(), 300);
  }

  @Test
  public void smallRequestsWaitForALargeOneThatWasRefused() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 1.0, FOREVER, 0);
    assertFalse(takes(buckets, 400, 100));
    assertFalse(takes(buckets, 10, 100));
    assertTrue(takes(buckets, 10, 400));
    assertFalse(takes(buckets, 400, 401));
    assertTrue(takes(buckets, 400, 410));
  }

  @Test
  public void smallRequestsDoNotWaitForever() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 1.0, FOREVER, 0);
    assertFalse(takes(buckets, 900_000, 100));
    assertFalse(takes(buckets, 10, 1_099));
    assertTrue(takes(buckets, 10, 1_100));
  }

  @Test
  public void aLowerLimitCutsTheLevelAtOnce() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 1.0, FOREVER, 0);
    buckets.setAllowances(Map.of(TENANT, new Allowance(0.1, 100, 0, 300)), 5_000);
    assertFalse(takes(buckets, 101, 5_000));
    assertTrue(takes(buckets, 100, 6_000));
  }

  @Test
  public void aReserveServesOnceInAWindow() {
    TenantBuckets buckets = buckets();
    buckets.reserveLent("a", 0.5, FOREVER, 0);
    assertTrue(takes(buckets, 100, REUSE));
    assertFalse(takes(buckets, 151, REUSE));
    assertTrue(takes(buckets, 150, REUSE + 1));
    assertFalse(takes(buckets, 1, 2 * REUSE));
    assertTrue(takes(buckets, 250, 2 * REUSE + 1));
  }

  @Test
  public void aReserveThatMayHaveBeenUsedElsewhereIsNotReusedInTheSameWindow() {
    TenantBuckets buckets = buckets();
    buckets.reserveLent("a", 1.0, 5_000, 0);
    buckets.reserveLent("a", 1.0, 2 * REUSE, 4_000);
    assertFalse(takes(buckets, 1, REUSE - 1));
    assertTrue(takes(buckets, 1, REUSE));
    buckets.releaseReserve("a", 2 * REUSE, REUSE + 1);
    buckets.reserveLent("a", 1.0, 2 * REUSE, REUSE + 2);
    assertFalse(takes(buckets, 1, REUSE + 2));
    buckets.reserveLent("a", 1.0, FOREVER, REUSE + 2);
    assertFalse(takes(buckets, 1, 2 * REUSE + 1));
    assertTrue(takes(buckets, 1, 2 * REUSE + 2));
  }

  @Test
  public void aReleasedShareIsNotUsedWhenItsLoanArrivesLate() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 0.5, 5_000, 0);
    buckets.release("a", 6_000, 100);
    buckets.lent("a", 0.5, 6_000, 101);
    assertEquals(buckets.share(101), 0.0);
    buckets.lent("a", 0.5, 6_001, 102);
    assertEquals(buckets.share(102), 0.5);
  }

  @Test
  public void aTenantWithoutALimitIsAdmitted() {
    assertTrue(buckets().take("tenant-two", 1e9, 0).isEmpty());
  }

  /**
   * Guards against buckets that gain, or loans that do not end, during a suspension of the machine.
   */
  @Test
  public void aSuspensionAddsNoLevelAndEndsLoans() {
    TenantBuckets buckets = buckets();
    buckets.lent("a", 0.25, FOREVER, 0);
    buckets.lent("b", 0.25, 4_000, 0);
    buckets.excludeSuspension(5_000);
    assertEquals(buckets.share(5_100), 0.25);
    assertFalse(takes(buckets, 51, 5_100));
  }
}
