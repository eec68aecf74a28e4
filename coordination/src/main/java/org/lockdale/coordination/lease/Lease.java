package org.lockdale.coordination.lease;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The state of a lease at one node, without I/O and with the time passed in. The invariant: actions
 * of two nodes under the lease are separated by at least the guard time. A holder stops acting, by
 * an upper bound of the store's clock, before the expiry time that it wrote into the row. A
 * contender starts, by a lower bound of the same clock, no sooner than the guard time after that
 * expiry. Local clocks need not agree, but must run at the same rate.
 */
public final class Lease {

  /**
   * Time in milliseconds before expiry at which a holder stops acting, so that actions under way
   * can finish.
   */
  private static final long SAFETY_MARGIN_MILLIS = 150;

  /**
   * Holder assumed for an unreadable row. No node has this id, so a node also waits for the expiry
   * of an unreadable row that it may have written itself.
   */
  private static final String UNKNOWN_HOLDER = "";

  private final String nodeId;
  private final long durationMillis;
  private final long guardMillis;
  private @Nullable LeaseReading latest;
  private long latestRequestedAtMillis;
  private boolean held;

  /**
   * Creates a lease that is not held.
   *
   * @param nodeId id of this node
   * @param durationMillis term for which the lease is taken or renewed, in milliseconds
   * @param guardMillis minimum time between the actions of two holders, in milliseconds
   */
  public Lease(String nodeId, long durationMillis, long guardMillis) {
    this.nodeId = nodeId;
    this.durationMillis = durationMillis;
    this.guardMillis = guardMillis;
  }

  /**
   * Processes a reading of the row.
   *
   * @param reading reply of the store
   * @param requestedAtMillis monotonic time at which the read was sent
   */
  public void recordRead(LeaseReading reading, long requestedAtMillis) {
    if (isOutdated(reading)) {
      return;
    }
    if (latest != null && reading.version() != latest.version()) {
      held = false;
    }
    latest = reading.isUnreadable() ? withAssumedHolder(reading) : reading;
    latestRequestedAtMillis = requestedAtMillis;
  }

  /**
   * Returns the reading with a row to assume for the unreadable one; otherwise an unreadable row
   * would block the lease forever. A holder can't renew the lease once its row has become
   * unreadable, so its hold ends at most one term later. The assumed row therefore expires one term
   * after the first unreadable reading.
   */
  private LeaseReading withAssumedHolder(LeaseReading unreadable) {
    LeaseReading before = latest;
    boolean sameVersion = before != null && before.version() == unreadable.version();
    LeaseRow row =
        sameVersion && before.row() != null
            ? before.row()
            : new LeaseRow(UNKNOWN_HOLDER, unreadable.storeMillis() + durationMillis);
    return new LeaseReading(
        row, unreadable.version(), unreadable.storeMillis(), unreadable.historyAgeMillis());
  }

  /**
   * Records a successful write of the row by this node.
   *
   * @param reading the row as written
   * @param requestedAtMillis monotonic time at which the write was sent
   */
  public void recordWrite(LeaseReading reading, long requestedAtMillis) {
    if (isOutdated(reading)) {
      return;
    }
    latest = reading;
    latestRequestedAtMillis = requestedAtMillis;
    held = true;
  }

  /** Returns whether a reading is older than the latest; replies may arrive out of order. */
  private boolean isOutdated(LeaseReading reading) {
    return latest != null && reading.version() < latest.version();
  }

  /** Stops acting under the lease, for example after a write with an unknown outcome. */
  public void relinquish() {
    held = false;
  }

  /**
   * Returns whether this node may act under the lease now.
   *
   * @param nowMillis monotonic time
   */
  public boolean mayAct(long nowMillis) {
    LeaseReading current = latest;
    if (!held || current == null || current.row() == null) {
      return false;
    }
    long latestStoreMillis = current.storeMillis() + (nowMillis - latestRequestedAtMillis);
    return latestStoreMillis < current.row().expiresAtMillis() - SAFETY_MARGIN_MILLIS;
  }

  /** Returns the fencing token of actions under the lease; 0 before the first reading. */
  public long fencingToken() {
    return latest == null ? 0 : latest.version();
  }

  /** Returns the version that the row must have for the next write; 0 before the first reading. */
  public long expectedVersion() {
    return latest == null ? 0 : latest.version();
  }

  /**
   * Returns the row to write to take or renew the lease. The result is empty before the first
   * reading and while, by the latest reading, another node's hold or the guard time after it has
   * not ended.
   */
  public Optional<LeaseRow> claim() {
    LeaseReading current = latest;
    if (current == null || millisUntilHoldsBeforeRestoreExpire(current) > 0) {
      return Optional.empty();
    }
    LeaseRow row = current.row();
    boolean ownRow = row != null && row.holder().equals(nodeId);
    if (row != null && !ownRow && current.storeMillis() < row.expiresAtMillis() + guardMillis) {
      return Optional.empty();
    }
    return Optional.of(new LeaseRow(nodeId, current.storeMillis() + durationMillis));
  }

  /**
   * Returns how long a contender should wait before it reads the row again, in milliseconds: by the
   * latest reading, the time until the current hold and the guard time after it have ended. The
   * result is 0 before the first reading.
   */
  public long millisUntilFree() {
    LeaseReading current = latest;
    if (current == null) {
      return 0;
    }
    long untilFormerHoldsExpire = millisUntilHoldsBeforeRestoreExpire(current);
    LeaseRow row = current.row();
    return row == null
        ? untilFormerHoldsExpire
        : Math.max(
            untilFormerHoldsExpire, row.expiresAtMillis() + guardMillis - current.storeMillis());
  }

  /**
   * Returns how long holds from before a restore of the store may still last, with the guard time
   * after them, in milliseconds. A restore from an older copy can remove the row of a holder or
   * replace it by an earlier one, while the holder continues to act until the expiry that it wrote,
   * at most one term after the restore. All nodes wait for this long, whether or not they have read
   * the lost row.
   */
  private long millisUntilHoldsBeforeRestoreExpire(LeaseReading reading) {
    return Math.max(0, durationMillis + guardMillis - reading.historyAgeMillis());
  }
}
