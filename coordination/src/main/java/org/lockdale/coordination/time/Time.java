package org.lockdale.coordination.time;

/** A source of time. */
public interface Time {

  /**
   * Returns milliseconds of a clock that never goes back, has an arbitrary origin and includes the
   * time for which the machine was suspended. To be used for everything that expires regardless of
   * the state of this machine, such as leases, the age of state, bounds and deadlines.
   */
  long monotonicMillis();

  /**
   * Returns the part of {@link #monotonicMillis} for which the machine was presumably suspended, in
   * milliseconds. The actual time may be less, as setting the wall clock ahead can't be
   * distinguished from a suspension.
   */
  default long suspendedMillis() {
    return 0;
  }

  /**
   * Returns milliseconds of a clock that stops while the machine is suspended. To be used for
   * events that this process waits for and that can't occur during a suspension, such as the next
   * byte of a connection.
   */
  default long steadyMillis() {
    return monotonicMillis() - suspendedMillis();
  }

  /** Returns milliseconds since 1970-01-01T00:00Z of the wall clock, which may be set back. */
  long wallMillis();
}
