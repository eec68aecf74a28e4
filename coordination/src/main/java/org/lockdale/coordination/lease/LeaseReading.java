package org.lockdale.coordination.lease;

import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.table.StoreVersion;

/**
 * The row of a lease as read or written, with the time of the store.
 *
 * @param row contents; null if there is no row or its contents can't be read
 * @param version packed version of the row (see {@link StoreVersion}); its number is 0 if there is
 *     no row
 * @param storeMillis the store's clock at the read or write, in milliseconds
 * @param historyAgeMillis how long this node has known of the latest restore of the store from an
 *     older copy, in milliseconds; very large if there was none
 */
public record LeaseReading(
    @Nullable LeaseRow row, long version, long storeMillis, long historyAgeMillis) {

  /** Creates a reading of a store that was never restored from an older copy. */
  public LeaseReading(@Nullable LeaseRow row, long version, long storeMillis) {
    this(row, version, storeMillis, Long.MAX_VALUE);
  }

  /** Returns whether the row exists but its contents can't be read. */
  public boolean isUnreadable() {
    return row == null && StoreVersion.ofPacked(version).number() != 0;
  }
}
