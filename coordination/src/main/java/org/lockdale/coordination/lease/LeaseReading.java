package org.lockdale.coordination.lease;

import org.jspecify.annotations.Nullable;

/**
 * The row of a lease as read or written.
 *
 * @param row contents, or null where nobody ever held the lease or they can't be read
 * @param version version of the row; 0 where there is none
 * @param storeMillis the store's clock at that moment
 */
public record LeaseReading(@Nullable LeaseRow row, long version, long storeMillis) {

  /** Returns whether there is a row whose contents can't be read. */
  public boolean isUnreadable() {
    return row == null && version != 0;
  }
}
