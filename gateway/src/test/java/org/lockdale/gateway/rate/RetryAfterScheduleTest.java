package org.lockdale.gateway.rate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that callers retry one after the other, as fast as they can be served. */
public final class RetryAfterScheduleTest {

  private RetryAfterSchedule schedule;

  @BeforeMethod
  public void start() {
    schedule = new RetryAfterSchedule();
  }

  @Test
  public void callersRetryAtTheRate() {
    assertEquals(schedule.next("pool", 100, 4, 0), 100);
    assertEquals(schedule.next("pool", 100, 4, 0), 350);
    assertEquals(schedule.next("pool", 100, 4, 0), 600);
    assertEquals(schedule.next("other", 100, 4, 0), 100);
  }

  @Test
  public void afterAPauseTheNextCallerRetriesAsSoonAsPossible() {
    schedule.next("pool", 100, 4, 0);
    assertEquals(schedule.next("pool", 60, 4, 10_000), 60);
  }

  @Test
  public void waitsAreBoundedAndSpread() {
    Set<Long> waits = new HashSet<>();
    for (int caller = 0; caller < 100; caller++) {
      long wait = schedule.next("pool", Double.POSITIVE_INFINITY, 0, 0);
      assertTrue(wait > 0 && wait <= RetryAfterSchedule.MAX_WAIT_MILLIS, "" + wait);
      waits.add(wait);
    }
    assertTrue(waits.size() > 90, waits.size() + " different waits");
  }
}
