package org.lockdale.coordination.lease;

import java.util.concurrent.CompletableFuture;

/**
 * Access to the store that holds the row of a lease. The future of a failed call completes
 * exceptionally with a {@link org.lockdale.coordination.table.TableServiceException}.
 */
public interface LeaseStore {

  /** Reads the row. */
  CompletableFuture<LeaseReading> read();

  /**
   * Writes the row if it has the expected version.
   *
   * @param row new contents
   * @param expectedVersion packed version that the row must have; its number is 0 if there must be
   *     no row
   * @return the row as written; fails with {@link
   *     org.lockdale.coordination.table.TableServiceException.Kind#CONDITION_FAILED} if the row has
   *     another version
   */
  CompletableFuture<LeaseReading> write(LeaseRow row, long expectedVersion);
}
