package org.lockdale.gateway.cluster;

import java.util.List;

/**
 * Decides when a relay sends a heartbeat: at regular intervals, and soon after a change. Each
 * heartbeat with a change makes all other nodes request that change, so changes in quick succession
 * go into one heartbeat. Performs no I/O. Not thread-safe.
 */
final class HeartbeatSchedule {

  /** Longest time between two heartbeats. */
  static final long MAX_INTERVAL_MILLIS = 500;

  /** Shortest time between two heartbeats; changes within it go into the same one. */
  static final long MIN_INTERVAL_MILLIS = 250;

  private long sentAtMillis = Long.MIN_VALUE / 2;
  private List<Long> sentChanges = List.of();

  /**
   * Returns whether a heartbeat should be sent now.
   *
   * @param changes version of the last change of each table
   * @param nowMillis monotonic time
   */
  boolean isDue(List<Long> changes, long nowMillis) {
    long elapsed = nowMillis - sentAtMillis;
    return elapsed >= MAX_INTERVAL_MILLIS
        || (elapsed >= MIN_INTERVAL_MILLIS && !changes.equals(sentChanges));
  }

  /** Records that a heartbeat was sent. */
  void sent(List<Long> changes, long nowMillis) {
    sentAtMillis = nowMillis;
    sentChanges = List.copyOf(changes);
  }
}
