package org.lockdale.coordination.lease;

import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.table.StoreVersion;

/**
 * The row of a lease as read or written.
 *
 * @param row contents, or null where nobody ever held the lease or they can't be read
 * @param version version of the row, packed; its number is 0 where there is none
 * @param storeMillis the store's clock at that moment
 * @param historyAgeMillis how long this node has known that the store came back from an older copy;
 *     very long where it never did
 */
public record LeaseReading(
    @Nullable LeaseRow row, long version, long storeMillis, long historyAgeMillis) {

  /** Creates a reading of a store that never came back from an older copy. */
  public LeaseReading(@Nullable LeaseRow row, long version, long storeMillis) {
    this(row, version, storeMillis, Long.MAX_VALUE);
  }

  /** Returns whether there is a row whose contents can't be read. */
  public boolean isUnreadable() {
    return row == null && StoreVersion.ofPacked(version).number() != 0;
  }
}
