package org.lockdale.gateway.node;

import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/** Logs that the machine was suspended. Not safe for use by several threads. */
final class SuspensionLog {

  private final Time time;
  private long loggedMillis;

  SuspensionLog(Time time) {
    this.time = time;
  }

  /** Logs what has been added since the last call. */
  void tick() {
    long suspended = time.suspendedMillis();
    if (suspended > loggedMillis) {
      Logger.warn("event=machine-suspended millis={}", suspended - loggedMillis);
      loggedMillis = suspended;
    }
  }
}
