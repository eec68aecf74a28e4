package org.lockdale.gateway.request;

import org.lockdale.coordination.time.Time;

/**
 * When an attempt was sent and its response arrived. Silence is measured by the steady clock, which
 * stops while the machine is suspended, so that suspension does not count as silence. Confined to
 * the event loop of the caller's connection.
 */
final class AttemptTimes {

  private static final long NOT_STARTED = -1;

  private final Time time;
  private long sentAtMillis;
  private long sentAtMonotonicMillis;
  private long lastReceivedAtMillis;
  private long startedAtMillis = NOT_STARTED;

  AttemptTimes(Time time) {
    this.time = time;
  }

  /** Records that the attempt is sent now. */
  void recordSent() {
    sentAtMillis = time.steadyMillis();
    sentAtMonotonicMillis = time.monotonicMillis();
    lastReceivedAtMillis = sentAtMillis;
  }

  /** Records that something was received now. */
  void recordReceived() {
    lastReceivedAtMillis = time.steadyMillis();
  }

  /** Records that what was received last has started the response. */
  void recordStart() {
    startedAtMillis = lastReceivedAtMillis;
  }

  /** Returns the monotonic time at which the attempt was sent, in milliseconds. */
  long sentAtMonotonicMillis() {
    return sentAtMonotonicMillis;
  }

  /** Returns the time since anything was received, in milliseconds. */
  long silentMillis() {
    return time.steadyMillis() - lastReceivedAtMillis;
  }

  /** Returns the time since the attempt was sent, in milliseconds. */
  long sinceSentMillis() {
    return time.steadyMillis() - sentAtMillis;
  }

  /** Returns the time since the response has started, in milliseconds; 0 before its start. */
  long sinceStartMillis() {
    return hasStarted() ? time.steadyMillis() - startedAtMillis : 0;
  }

  /** Returns whether the start of the response was recorded. */
  boolean hasStarted() {
    return startedAtMillis != NOT_STARTED;
  }
}
