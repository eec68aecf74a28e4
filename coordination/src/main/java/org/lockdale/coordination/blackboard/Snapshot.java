package org.lockdale.coordination.blackboard;

/**
 * A value of a {@link Section} with its version and time.
 *
 * @param value immutable value
 * @param version number of values published before this one
 * @param asOfMillis monotonic time at which the value was known to be current, in milliseconds
 */
public record Snapshot<T>(T value, long version, long asOfMillis) {

  /** Returns the age of the value at a monotonic time, in milliseconds. */
  public long ageMillis(long nowMillis) {
    return nowMillis - asOfMillis;
  }
}
