package org.lockdale.gateway.cluster;

import java.util.function.LongSupplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmissionMetrics.Cause;
import org.lockdale.gateway.admission.Ticket;
import org.tinylog.Logger;

/** Logs refusals, at a bounded rate. Confined to one thread. */
final class RefusalLog {

  /** Shortest time between two log lines, in milliseconds. */
  private static final long INTERVAL_MILLIS = 100;

  private final Time time;
  private long nextMillis = Long.MIN_VALUE;

  RefusalLog(Time time) {
    this.time = time;
  }

  /**
   * Logs a refusal unless another one was logged just before.
   *
   * @param ticket the ticket that is refused
   * @param cause why it is refused
   * @param waitMillis forecast wait, in milliseconds
   * @param retryAfterMillis time after which there is room for it, in milliseconds
   * @param queueLength number of tickets that wait
   * @param enginesWithRoom supplies the number of engines that have room for it
   */
  void log(
      Ticket ticket,
      Cause cause,
      long waitMillis,
      long retryAfterMillis,
      int queueLength,
      LongSupplier enginesWithRoom) {
    long now = time.monotonicMillis();
    if (now < nextMillis) {
      return;
    }
    nextMillis = now + INTERVAL_MILLIS;
    Logger.info(
        "event=admission-refused node={} ticket={} cause={} pool={} priority={} forecast-ms={}"
            + " retry-after-ms={} queue-length={} engines-with-room={}",
        ticket.key().node(),
        ticket.key().number(),
        cause.label(),
        ticket.pool(),
        ticket.terms().priority(),
        waitMillis,
        retryAfterMillis,
        queueLength,
        enginesWithRoom.getAsLong());
  }
}
