package org.lockdale.gateway.node;

import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/** Logs suspensions of the machine. Not safe for use by several threads. */
final class SuspensionLog {

  private final Time time;
  private long loggedMillis;

  SuspensionLog(Time time) {
    this.time = time;
  }

  /** Logs the time for which the machine was suspended since the last call, if any. */
  void tick() {
    long suspended = time.suspendedMillis();
    if (suspended > loggedMillis) {
      Logger.warn("event=machine-suspended millis={}", suspended - loggedMillis);
      loggedMillis = suspended;
    }
  }
}
