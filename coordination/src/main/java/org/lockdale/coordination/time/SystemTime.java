package org.lockdale.coordination.time;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * The clocks of the machine, including the time for which the machine was suspended.
 *
 * <p>The steady clock of the system stops during a suspension, so that a node would treat an
 * expired lease or outdated state as valid after it has resumed, and act on it. The only clock of
 * the JVM that includes suspensions is the wall clock, which also jumps when it is set. A forward
 * jump of the wall clock relative to the steady clock therefore counts as a suspension. If the
 * clock was only set ahead, leases and cached state expire early and are renewed sooner than
 * necessary. A backward jump is ignored. All users of {@link #instance} share the detected
 * suspensions.
 */
public final class SystemTime implements Time {

  /**
   * Minimum forward jump that counts as a suspension, in milliseconds. Smaller differences arise as
   * the clocks are read some microseconds apart and slewed by less than a millisecond per second;
   * shorter suspensions are covered by the safety margins of leases.
   */
  private static final long MIN_SUSPENSION_MILLIS = 100;

  /**
   * Difference in milliseconds at which the reference offset of the clocks is replaced, so that
   * slewing does not add up to a suspension.
   */
  private static final long SLEW_THRESHOLD_MILLIS = 20;

  /**
   * Maximum time between the readings of the two clocks; a comparison that took longer, for example
   * because the process was paused in between, is discarded.
   */
  private static final long MAX_READING_GAP_NANOS = 5_000_000;

  /** Minimum time between comparisons of the clocks, which limits their processor time. */
  private static final long COMPARISON_INTERVAL_NANOS = 1_000_000;

  private static final SystemTime SHARED =
      new SystemTime(System::nanoTime, System::currentTimeMillis);

  /** Offset of the wall clock to the steady clock, and the total of all suspensions detected. */
  private record Reading(long offsetMillis, long suspendedMillis) {}

  private final LongSupplier steadyNanos;
  private final LongSupplier wallMillis;
  private final AtomicReference<Reading> latest;
  private volatile long comparedAtNanos;

  private SystemTime(LongSupplier steadyNanos, LongSupplier wallMillis) {
    this.steadyNanos = steadyNanos;
    this.wallMillis = wallMillis;
    this.comparedAtNanos = steadyNanos.getAsLong();
    this.latest =
        new AtomicReference<>(new Reading(wallMillis.getAsLong() - millis(comparedAtNanos), 0));
  }

  /** Returns the shared instance, which uses the clocks of this machine. */
  public static SystemTime instance() {
    return SHARED;
  }

  /**
   * Returns an instance that uses the given clocks.
   *
   * @param steadyNanos a clock in nanoseconds that never goes back and stops during a suspension
   * @param wallMillis the wall clock, in milliseconds
   */
  public static SystemTime of(LongSupplier steadyNanos, LongSupplier wallMillis) {
    return new SystemTime(steadyNanos, wallMillis);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  @Override
  public long monotonicMillis() {
    long nanos = steadyNanos.getAsLong();
    if (nanos - comparedAtNanos >= COMPARISON_INTERVAL_NANOS) {
      compareClocks(nanos);
    }
    return millis(nanos) + latest.get().suspendedMillis();
  }

  @Override
  public long suspendedMillis() {
    return latest.get().suspendedMillis();
  }

  @Override
  public long wallMillis() {
    return wallMillis.getAsLong();
  }

  private void compareClocks(long nanos) {
    long offset = wallMillis.getAsLong() - millis(nanos);
    if (steadyNanos.getAsLong() - nanos > MAX_READING_GAP_NANOS) {
      return;
    }
    comparedAtNanos = nanos;
    Reading before = latest.get();
    long jump = offset - before.offsetMillis();
    if (Math.abs(jump) >= SLEW_THRESHOLD_MILLIS) {
      long suspended = jump >= MIN_SUSPENSION_MILLIS ? jump : 0;
      // If several threads detect the same jump, only one of them counts it.
      latest.compareAndSet(before, new Reading(offset, before.suspendedMillis() + suspended));
    }
  }
}
