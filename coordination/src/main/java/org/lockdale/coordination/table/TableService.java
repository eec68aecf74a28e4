package org.lockdale.coordination.table;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A store of tables whose rows are byte arrays with versions, with conditional writes. The future
 * of a failed call completes exceptionally with a {@link TableServiceException}.
 */
public interface TableService {

  /**
   * Reads a row.
   *
   * @param table table name
   * @param key row key
   * @return the row, or empty if there is none
   */
  CompletableFuture<Optional<TableRow>> read(String table, String key);

  /**
   * Creates a row.
   *
   * @return the row as created; fails with {@link TableServiceException.Kind#CONDITION_FAILED} if
   *     the row exists
   */
  CompletableFuture<TableRow> create(String table, String key, byte[] value);

  /**
   * Replaces a row that has the expected version.
   *
   * @return the row as replaced; fails with {@link TableServiceException.Kind#CONDITION_FAILED} if
   *     the row is absent or has another version
   */
  CompletableFuture<TableRow> replace(String table, String key, byte[] value, long expectedVersion);
}
