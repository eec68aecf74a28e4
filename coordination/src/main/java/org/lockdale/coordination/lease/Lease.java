package org.lockdale.coordination.lease;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * State of one node's hold on a lease, without I/O and under injected time. The invariant: two
 * nodes never act under the lease within the guard time of each other. It holds since a holder
 * stops, by an upper bound of the store's clock, before the time that it wrote into the row, and a
 * contender starts, by a lower bound of the same clock, no sooner than the guard time after it.
 * Local clocks need only run at the same rate.
 */
public final class Lease {

  /** Time before the written end at which a holder stops acting, for actions under way. */
  private static final long SAFETY_MARGIN_MILLIS = 150;

  /** No node has this id; an own row that can't be read is waited for like any other. */
  private static final String UNKNOWN_HOLDER = "";

  private final String nodeId;
  private final long durationMillis;
  private final long guardMillis;
  private @Nullable LeaseReading known;
  private long knownAskedAtMillis;
  private boolean held;

  /**
   * Creates a lease that is not held.
   *
   * @param nodeId id of this node
   * @param durationMillis for how long it is taken or renewed
   * @param guardMillis least time between the actions of two holders
   */
  public Lease(String nodeId, long durationMillis, long guardMillis) {
    this.nodeId = nodeId;
    this.durationMillis = durationMillis;
    this.guardMillis = guardMillis;
  }

  /**
   * Takes in a reading of the row.
   *
   * @param reading what the store answered
   * @param askedAtMillis monotonic time at which the call was sent
   */
  public void observed(LeaseReading reading, long askedAtMillis) {
    if (isOutdated(reading)) {
      return;
    }
    if (known != null && reading.version() != known.version()) {
      held = false;
    }
    known = reading.isUnreadable() ? believed(reading) : reading;
    knownAskedAtMillis = askedAtMillis;
  }

  /**
   * A row that nobody can read would keep the lease from all nodes for ever. Who held it before it
   * was spoilt can't renew it any more, and the hold ends a whole term after that moment at the
   * latest, so it is free a term after the first reading.
   */
  private LeaseReading believed(LeaseReading unreadable) {
    LeaseReading before = known;
    boolean seen = before != null && before.version() == unreadable.version();
    LeaseRow row =
        seen && before.row() != null
            ? before.row()
            : new LeaseRow(UNKNOWN_HOLDER, unreadable.storeMillis() + durationMillis);
    return new LeaseReading(
        row, unreadable.version(), unreadable.storeMillis(), unreadable.historyAgeMillis());
  }

  /** Takes in that this node's write took effect. */
  public void written(LeaseReading reading, long askedAtMillis) {
    if (isOutdated(reading)) {
      return;
    }
    known = reading;
    knownAskedAtMillis = askedAtMillis;
    held = true;
  }

  /** Answers to calls that overlap may come in any order. */
  private boolean isOutdated(LeaseReading reading) {
    return known != null && reading.version() < known.version();
  }

  /** Gives the lease up, as after a write whose outcome is not known. */
  public void lost() {
    held = false;
  }

  /** Returns whether this node may act under the lease now. */
  public boolean mayAct(long nowMillis) {
    LeaseReading current = known;
    if (!held || current == null || current.row() == null) {
      return false;
    }
    long latestStoreMillis = current.storeMillis() + (nowMillis - knownAskedAtMillis);
    return latestStoreMillis < current.row().expiresAtMillis() - SAFETY_MARGIN_MILLIS;
  }

  /** Returns the fencing token of the actions under the lease. */
  public long fence() {
    return known == null ? 0 : known.version();
  }

  /** Returns the version that the row must have for the next write. */
  public long expectedVersion() {
    return known == null ? 0 : known.version();
  }

  /**
   * Returns what to write to take or renew the lease, or empty while another node's hold, or its
   * guard time, has not run out by the last reading.
   */
  public Optional<LeaseRow> claim() {
    LeaseReading current = known;
    if (current == null || millisUntilHoldsOfFormerHistoryEnd(current) > 0) {
      return Optional.empty();
    }
    LeaseRow row = current.row();
    boolean own = row != null && row.holder().equals(nodeId);
    if (row != null && !own && current.storeMillis() < row.expiresAtMillis() + guardMillis) {
      return Optional.empty();
    }
    return Optional.of(new LeaseRow(nodeId, current.storeMillis() + durationMillis));
  }

  /** Returns how long a contender should wait before it reads the row again, in milliseconds. */
  public long millisUntilFree() {
    LeaseReading current = known;
    if (current == null) {
      return 0;
    }
    long former = millisUntilHoldsOfFormerHistoryEnd(current);
    LeaseRow row = current.row();
    return row == null
        ? former
        : Math.max(former, row.expiresAtMillis() + guardMillis - current.storeMillis());
  }

  /**
   * Where the store has come back from an older copy the row of a holder may be gone, or be an
   * earlier one, while the holder acts until the end that it wrote: a whole term after the store
   * came back at the latest. Whoever knew the row acts no sooner, so nobody has to.
   */
  private long millisUntilHoldsOfFormerHistoryEnd(LeaseReading reading) {
    return Math.max(0, durationMillis + guardMillis - reading.historyAgeMillis());
  }
}
