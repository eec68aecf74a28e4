package org.lockdale.coordination.time;

/** Source of time. */
public interface Time {

  /** Returns milliseconds of a clock that never goes back; its zero has no meaning. */
  long monotonicMillis();

  /** Returns milliseconds since 1970-01-01T00:00Z by the wall clock, which may be set back. */
  long wallMillis();
}
