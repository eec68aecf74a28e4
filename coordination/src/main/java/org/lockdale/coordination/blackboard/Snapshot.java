package org.lockdale.coordination.blackboard;

/**
 * A value with its age.
 *
 * @param value immutable value
 * @param version number of publications before this one
 * @param trueAtMillis monotonic time at which the value was known to be true
 */
public record Snapshot<T>(T value, long version, long trueAtMillis) {

  /** Returns how old the belief is, in milliseconds. */
  public long ageMillis(long nowMillis) {
    return nowMillis - trueAtMillis;
  }
}
