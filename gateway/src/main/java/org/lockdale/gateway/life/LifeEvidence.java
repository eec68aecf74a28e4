package org.lockdale.gateway.life;

import java.util.function.Supplier;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Tells what shows that a life of a back end goes on. Its server's next life may listen at the same
 * address before its record is read, and answers under the same id; so an answer shows that
 * somebody listens, not who.
 *
 * <p>A record that still stands long after a moment, in a table that was current all the while,
 * shows that its life went on at that moment: the record of one that had ended lapses or is
 * replaced. A connection that had come up by such a moment is one to that life, and so are answers
 * over it.
 */
public final class LifeEvidence {

  /**
   * The record of an ended life lapses after three heartbeats, 3.6 s, and may be read a second
   * later. Two outages of the store may put that off by less than {@link #GAP_MILLIS} each
   * unnoticed.
   */
  public static final long RECORD_EXPIRY_MILLIS = 10_000;

  /** A feed is held for two seconds where nothing changes; a longer silence is an outage. */
  private static final long GAP_MILLIS = 3_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Supplier<Snapshot<BackendTable>> backends;
  private long currentSinceMillis = NEVER;
  private long lastTrueAtMillis = NEVER;
  private volatile long stoodAtMillis = NEVER;

  /**
   * Creates it.
   *
   * @param backends back ends on record, and when that was last known to be current
   */
  public LifeEvidence(Supplier<Snapshot<BackendTable>> backends) {
    this.backends = backends;
  }

  /** Takes in how current the records are; to be called a few times a second, by one thread. */
  public void observe() {
    long trueAt = backends.get().trueAtMillis();
    if (trueAt - lastTrueAtMillis > GAP_MILLIS) {
      currentSinceMillis = trueAt;
    }
    lastTrueAtMillis = Math.max(lastTrueAtMillis, trueAt);
    if (trueAt - RECORD_EXPIRY_MILLIS >= currentSinceMillis) {
      stoodAtMillis = Math.max(stoodAtMillis, trueAt - RECORD_EXPIRY_MILLIS);
    }
  }

  /**
   * Takes in that an answer has begun; from any thread.
   *
   * @param target life that the attempt was meant for
   * @param connectedAtMillis monotonic time at which its connection came up
   * @param sentAtMillis monotonic time at which the attempt was sent
   */
  public void answered(TrackedBackend target, long connectedAtMillis, long sentAtMillis) {
    if (connectedAtMillis <= stoodAtMillis && isOnRecord(target)) {
      target.answered(sentAtMillis);
    }
  }

  private boolean isOnRecord(TrackedBackend target) {
    return !target.isOver() && backends.get().value().find(target.backend().id()) != null;
  }

  /**
   * Returns the latest monotonic time at which a life is known to have gone on, by its record or
   * its answers; long ago where nothing shows it.
   */
  public long lastAliveAtMillis(TrackedBackend life) {
    return isOnRecord(life) ? Math.max(stoodAtMillis, life.aliveAtMillis()) : NEVER;
  }
}
