package org.lockdale.coordination.time;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the clock includes the time for which the machine was suspended. */
public final class SystemTimeTest {

  private static final long NANOS = 1_000_000;

  private long steadyNanos;
  private long wallMillis;
  private long stallNanos;
  private SystemTime time;

  @BeforeMethod
  public void start() {
    steadyNanos = 7_000 * NANOS;
    wallMillis = 1_000_000;
    stallNanos = 0;
    time = SystemTime.of(this::readSteady, () -> wallMillis);
    pass(10);
  }

  private long readSteady() {
    long read = steadyNanos;
    steadyNanos += stallNanos;
    return read;
  }

  private void pass(long millis) {
    steadyNanos += millis * NANOS;
    wallMillis += millis;
  }

  @Test
  public void timePassesAsOnBothClocks() {
    long before = time.monotonicMillis();
    pass(2_500);
    assertEquals(time.monotonicMillis() - before, 2_500);
    assertEquals(time.suspendedMillis(), 0);
  }

  @Test
  public void aSuspensionCountsFromTheFirstReadingOn() {
    long before = time.monotonicMillis();
    long steadyBefore = time.steadyMillis();
    wallMillis += 5_000;
    pass(1);
    assertEquals(time.monotonicMillis() - before, 5_001);
    assertEquals(time.suspendedMillis(), 5_000);
    assertEquals(time.steadyMillis() - steadyBefore, 1);
  }

  @Test
  public void suspensionsAddUp() {
    time.monotonicMillis();
    wallMillis += 2_000;
    pass(10);
    time.monotonicMillis();
    wallMillis += 3_000;
    pass(10);
    time.monotonicMillis();
    assertEquals(time.suspendedMillis(), 5_000);
  }

  @Test
  public void aClockThatIsSetBackNeverTakesTimeBack() {
    long before = time.monotonicMillis();
    wallMillis -= 2_400;
    pass(10);
    assertEquals(time.monotonicMillis() - before, 10);
  }

  @Test
  public void aClockThatIsSetAheadCountsAsASuspensionOnceAndBackAgainAsNothing() {
    long before = time.monotonicMillis();
    wallMillis += 2_400;
    pass(10);
    assertEquals(time.monotonicMillis() - before, 2_410);
    wallMillis -= 2_400;
    pass(10);
    assertEquals(time.monotonicMillis() - before, 2_420);
  }

  @Test
  public void aSlewedClockDoesNotAddUpToASuspension() {
    for (int second = 0; second < 3_600; second++) {
      pass(1_000);
      wallMillis++;
      time.monotonicMillis();
    }
    assertEquals(time.suspendedMillis(), 0);
  }

  @Test
  public void aPauseBetweenTheReadingsOfTheTwoClocksDoesNotCount() {
    time.monotonicMillis();
    pass(10);
    // The process is paused after the first reading, and the second clock is read after the pause.
    stallNanos = 400 * NANOS;
    wallMillis += 400;
    time.monotonicMillis();
    stallNanos = 0;
    wallMillis += 400;
    pass(10);
    time.monotonicMillis();
    assertEquals(time.suspendedMillis(), 0);
  }
}
