package org.lockdale.gateway.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks how long a backend that fails or rejects requests receives no new ones. */
public final class BackendHealthTest {

  private BackendHealth health;

  @BeforeMethod
  public void create() {
    health = new BackendHealth();
  }

  /** Records a rejection and returns the monotonic time from which requests are sent again. */
  private long pauseFrom(long rejectedAtMillis) {
    health.recordRejection(rejectedAtMillis);
    long millis = rejectedAtMillis;
    while (health.isEjected(millis)) {
      millis++;
    }
    return millis;
  }

  @Test
  public void pausesAfterRejectionsDoubleUpToALimit() {
    assertEquals(pauseFrom(0), 150);
    assertEquals(pauseFrom(150), 450);
    assertEquals(pauseFrom(450), 1_050);
    assertEquals(pauseFrom(1_050), 2_250);
    assertEquals(pauseFrom(2_250), 3_450);
  }

  @Test
  public void rejectionsOfRequestsInFlightDoNotLengthenThePause() {
    health.recordRejection(0);
    for (int millis = 0; millis < 20; millis++) {
      health.recordRejection(millis);
    }
    assertFalse(health.isEjected(150));
    assertEquals(pauseFrom(150), 450);
  }

  @Test
  public void aTimeWithoutRejectionsResetsThePause() {
    pauseFrom(0);
    pauseFrom(150);
    assertEquals(pauseFrom(2_000), 2_150);
  }

  @Test
  public void anEngineThatRejectsWhileItCompletesEarlierRequestsStaysPaused() {
    health.recordRejection(0);
    health.recordSuccess();
    assertTrue(health.isEjected(100));
  }
}
