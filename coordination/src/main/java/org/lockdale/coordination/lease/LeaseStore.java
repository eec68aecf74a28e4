package org.lockdale.coordination.lease;

import java.util.concurrent.CompletableFuture;

/**
 * Port of the store that holds a lease's row. Every future fails with a {@link
 * org.lockdale.coordination.table.TableServiceException}.
 */
public interface LeaseStore {

  /** Reads the row. */
  CompletableFuture<LeaseReading> read();

  /**
   * Writes the row if it still has a version.
   *
   * @param row new contents
   * @param expectedVersion version it must have; 0 for none
   * @return the row as written; fails with {@link
   *     org.lockdale.coordination.table.TableServiceException.Kind#CONDITION_FAILED} otherwise
   */
  CompletableFuture<LeaseReading> write(LeaseRow row, long expectedVersion);
}
