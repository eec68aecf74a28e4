package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that heartbeats are regular, and that changes are announced soon but several at a time.
 */
public final class HeartbeatScheduleTest {

  private static final long TICK_MILLIS = 50;

  private HeartbeatSchedule schedule;

  @BeforeMethod
  public void start() {
    schedule = new HeartbeatSchedule();
  }

  /**
   * Simulates ten seconds with a change at the given interval and returns the number of heartbeats.
   */
  private int heartbeats(long changeEveryMillis) {
    int sent = 0;
    for (long now = 0; now < 10_000; now += TICK_MILLIS) {
      List<Long> changes = List.of(now / changeEveryMillis);
      if (schedule.isDue(changes, now)) {
        schedule.sent(changes, now);
        sent++;
      }
    }
    return sent;
  }

  @Test
  public void heartbeatsAreRegularWithoutChanges() {
    assertEquals(heartbeats(1_000_000), 20);
  }

  @Test
  public void frequentChangesAreBatched() {
    assertEquals(heartbeats(TICK_MILLIS), 40);
  }

  @Test
  public void aChangeAfterAQuietTimeIsAnnouncedAtOnce() {
    schedule.sent(List.of(1L), 0);
    assertFalse(schedule.isDue(List.of(1L), 300));
    assertTrue(schedule.isDue(List.of(2L), 300));
  }
}
