package org.lockdale.gateway.backend;

import java.util.concurrent.atomic.AtomicLong;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.SurplusReply;
import org.tinylog.Logger;

/**
 * Counts and logs replies that were not due on their connections. Safe for use by several threads.
 */
public final class SurplusReplies implements SurplusReply.Listener {

  /** Least time between two log lines, in milliseconds, since a server may send any number. */
  private static final long LOG_INTERVAL_MILLIS = 100;

  private final Time time;
  private final AtomicLong idleCount = new AtomicLong();
  private final AtomicLong skippedCount = new AtomicLong();
  private final AtomicLong unloggedCount = new AtomicLong();
  private final AtomicLong nextLogMillis = new AtomicLong(Long.MIN_VALUE);

  /**
   * Creates a counter.
   *
   * @param time clock
   */
  public SurplusReplies(Time time) {
    this.time = time;
  }

  /** Returns the number of replies that arrived while no request waited on their connections. */
  public long idleCount() {
    return idleCount.get();
  }

  /** Returns the number of replies that arrived before the reply that was due. */
  public long skippedCount() {
    return skippedCount.get();
  }

  @Override
  public void onSurplusReply(SurplusReply reply) {
    (reply.idle() ? idleCount : skippedCount).incrementAndGet();
    long now = time.monotonicMillis();
    long next = nextLogMillis.get();
    if (now < next || !nextLogMillis.compareAndSet(next, now + LOG_INTERVAL_MILLIS)) {
      unloggedCount.incrementAndGet();
      return;
    }
    Logger.warn(
        "event=surplus-reply address={} connection={} status={} request={} idle={} awaited={} late-ms={}"
            + " not-logged={}",
        reply.address(),
        reply.connection(),
        reply.status(),
        reply.id(),
        reply.idle(),
        reply.awaitedId(),
        reply.lateMillis(),
        unloggedCount.getAndSet(0));
  }
}
