package org.lockdale.gateway.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the backoff that a backend requests from this node. */
public final class BackendBackoffTest {

  private BackendBackoff backoff;

  @BeforeMethod
  public void start() {
    backoff = new BackendBackoff();
  }

  @Test
  public void aShorterBackoffDoesNotEndALongerOne() {
    assertTrue(backoff.extend(3_000, 0));
    assertFalse(backoff.extend(500, 100));
    assertTrue(backoff.isActive(2_999));
    assertFalse(backoff.isActive(3_000));
  }

  @Test
  public void aBackoffThatEndsLaterReplacesAnEarlierOne() {
    backoff.extend(3_000, 0);
    assertTrue(backoff.extend(3_000, 1_000));
    assertEquals(backoff.remainingMillis(3_000), 1_000);
    assertEquals(backoff.remainingMillis(9_000), 0);
  }

  @Test
  public void withoutARequestThereIsNoBackoff() {
    assertFalse(new BackendBackoff().isActive(0));
    assertEquals(new BackendBackoff().remainingMillis(Long.MAX_VALUE / 2), 0);
  }
}
