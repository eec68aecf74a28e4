package org.lockdale.gateway.table;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Port to a shared store whose tables can be scanned and polled for changes. Every future that
 * fails does so with a {@link org.lockdale.coordination.table.TableServiceException}.
 */
public interface TableFeed {

  /**
   * Reads a page of rows.
   *
   * @param table table name
   * @param fromKey first key of the page, or null for the start of the table
   */
  CompletableFuture<TablePage> scan(String table, @Nullable String fromKey);

  /**
   * Waits for changes.
   *
   * @param table table name
   * @param afterVersion version of the store after which to return changes
   * @param wait longest time to wait for a change
   * @return the changes, empty if there were none within the wait; fails with {@link
   *     org.lockdale.coordination.table.TableServiceException.Kind#HISTORY_LOST} if the store no
   *     longer holds all of them
   */
  CompletableFuture<TablePage> changes(String table, long afterVersion, Duration wait);
}
