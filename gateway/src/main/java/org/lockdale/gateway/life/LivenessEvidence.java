package org.lockdale.gateway.life;

import java.util.function.Supplier;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Determines until when an incarnation of a backend is known to have been alive. The next
 * incarnation of its server may listen at the same address before its record is read, and responds
 * under the same id; so a response shows that some incarnation is alive, but not which.
 *
 * <p>If a record still exists long after a moment, in a table that was current throughout, its
 * incarnation was alive at that moment: the record of a crashed incarnation expires or is replaced.
 * A connection that had been established by such a moment leads to that incarnation, and responses
 * over it are its responses.
 */
public final class LivenessEvidence {

  /**
   * Time in milliseconds for which a record must exist after a moment to show that its incarnation
   * was alive then. The record of a crashed incarnation expires after three heartbeats, 3.6 s, and
   * the expiry may be read a second later. Each of two outages of the store may delay this by less
   * than {@link #GAP_MILLIS} without being noticed.
   */
  public static final long RECORD_EXPIRY_MILLIS = 10_000;

  /**
   * Longest time between two readings without an outage: the store responds to a request for
   * changes after two seconds if nothing changes.
   */
  private static final long GAP_MILLIS = 3_000;

  /**
   * Time in milliseconds after which the record of an incarnation that accepts connections has been
   * written and read, without an outage.
   */
  private static final long RECORD_DELAY_MILLIS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Supplier<Snapshot<BackendTable>> backends;
  private long currentSinceMillis = NEVER;
  private long lastCurrentAtMillis = NEVER;
  private volatile long aliveByRecordAtMillis = NEVER;

  /**
   * Creates the evidence.
   *
   * @param backends backends that have a record, and the time at which that was last known to be
   *     current
   */
  public LivenessEvidence(Supplier<Snapshot<BackendTable>> backends) {
    this.backends = backends;
  }

  /** Updates how current the records are; to be called a few times a second, by one thread. */
  public void observe() {
    long currentAt = backends.get().asOfMillis();
    if (currentAt - lastCurrentAtMillis > GAP_MILLIS) {
      currentSinceMillis = currentAt;
    }
    lastCurrentAtMillis = Math.max(lastCurrentAtMillis, currentAt);
    if (currentAt - RECORD_EXPIRY_MILLIS >= currentSinceMillis) {
      aliveByRecordAtMillis = Math.max(aliveByRecordAtMillis, currentAt - RECORD_EXPIRY_MILLIS);
    }
  }

  /**
   * Reports that a response has started; from any thread.
   *
   * @param target incarnation that the attempt was meant for
   * @param connectedAtMillis monotonic time at which its connection was established
   * @param sentAtMillis monotonic time at which the attempt was sent
   */
  public void recordResponse(TrackedBackend target, long connectedAtMillis, long sentAtMillis) {
    if (connectedAtMillis <= aliveByRecordAtMillis && hasRecord(target)) {
      target.recordAlive(sentAtMillis);
    }
  }

  /**
   * Returns whether a connection leads to an incarnation, and not to the next one, which may have
   * other software. In an outage only those connections do that were established before it, or by a
   * moment at which the incarnation is known to have been alive.
   *
   * @param connectedAtMillis monotonic time at which the connection was established
   */
  public boolean leadsTo(TrackedBackend target, long connectedAtMillis, long nowMillis) {
    long readAtMillis = backends.get().asOfMillis();
    boolean outage = nowMillis - readAtMillis > GAP_MILLIS;
    return !outage
        || connectedAtMillis <= readAtMillis - RECORD_DELAY_MILLIS
        || connectedAtMillis <= target.lastKnownAliveMillis();
  }

  private boolean hasRecord(TrackedBackend target) {
    return !target.hasEnded() && backends.get().value().find(target.backend().id()) != null;
  }

  /**
   * Returns the latest monotonic time at which an incarnation is known to have been alive, by its
   * record or its responses; a time in the distant past if nothing shows it.
   */
  public long lastAliveAtMillis(TrackedBackend incarnation) {
    return hasRecord(incarnation)
        ? Math.max(aliveByRecordAtMillis, incarnation.lastKnownAliveMillis())
        : NEVER;
  }
}
