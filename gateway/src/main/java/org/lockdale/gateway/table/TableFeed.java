package org.lockdale.gateway.table;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Port of a shared store whose tables can be scanned and followed. Every future fails with a {@link
 * org.lockdale.coordination.table.TableServiceException}.
 */
public interface TableFeed {

  /**
   * Reads a page of rows.
   *
   * @param table table name
   * @param fromKey first key wanted, or null for the start
   */
  CompletableFuture<TablePage> scan(String table, @Nullable String fromKey);

  /**
   * Waits for changes.
   *
   * @param table table name
   * @param afterVersion version of the store after which changes are wanted
   * @param wait longest time to wait for one
   * @return the changes, none if there were none; fails with {@link
   *     org.lockdale.coordination.table.TableServiceException.Kind#HISTORY_LOST} where the store
   *     has forgotten some
   */
  CompletableFuture<TablePage> changes(String table, long afterVersion, Duration wait);
}
