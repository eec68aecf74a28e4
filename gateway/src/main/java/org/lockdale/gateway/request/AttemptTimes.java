package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.HttpCall;

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

  /**
   * Returns the monotonic time at which the connection of a call was established, in milliseconds;
   * the present time for no call.
   */
  long connectedAtMillis(@Nullable HttpCall call) {
    return time.monotonicMillis() - (call == null ? 0 : call.connectionAgeMillis());
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

  /**
   * Returns for how long the response has been arriving, in milliseconds: 0 before the first event
   * of a stream. The start of other responses is not visible, so their time counts from sending the
   * request.
   */
  long responseMillis(boolean streams) {
    return streams ? sinceStartMillis() : sinceSentMillis();
  }

  /** Returns whether the start of the response was recorded. */
  boolean hasStarted() {
    return startedAtMillis != NOT_STARTED;
  }
}
