package org.lockdale.gateway.cluster;

import java.util.List;

/**
 * Decides when a relay sends a heartbeat: regularly, and soon after a change. Every heartbeat with
 * a change makes all other nodes ask for it, so changes that come one after the other are told
 * together. No I/O; not safe for use by several threads.
 */
final class HeartbeatSchedule {

  /** Longest time between two heartbeats. */
  static final long REGULAR_MILLIS = 500;

  /** Shortest time between two heartbeats, within which changes are gathered. */
  static final long GATHER_MILLIS = 250;

  private long sentAtMillis = Long.MIN_VALUE / 2;
  private List<Long> sentChanges = List.of();

  /**
   * Returns whether a heartbeat is to be sent now.
   *
   * @param changes last change of each table
   * @param nowMillis monotonic time
   */
  boolean isDue(List<Long> changes, long nowMillis) {
    long elapsed = nowMillis - sentAtMillis;
    return elapsed >= REGULAR_MILLIS || (elapsed >= GATHER_MILLIS && !changes.equals(sentChanges));
  }

  /** Takes in that a heartbeat was sent. */
  void sent(List<Long> changes, long nowMillis) {
    sentAtMillis = nowMillis;
    sentChanges = List.copyOf(changes);
  }
}
