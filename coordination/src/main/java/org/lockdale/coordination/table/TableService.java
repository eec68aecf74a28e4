package org.lockdale.coordination.table;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Rows of bytes with versions and conditional writes. Every future fails with a {@link
 * TableServiceException}.
 */
public interface TableService {

  /**
   * Reads a row.
   *
   * @param table table name
   * @param key row key
   * @return the row, or empty where there is none
   */
  CompletableFuture<Optional<TableRow>> read(String table, String key);

  /**
   * Creates a row.
   *
   * @return the row as created; fails with {@link TableServiceException.Kind#CONDITION_FAILED}
   *     where the row exists
   */
  CompletableFuture<TableRow> create(String table, String key, byte[] value);

  /**
   * Replaces a row whose version is the expected one.
   *
   * @return the row as replaced; fails with {@link TableServiceException.Kind#CONDITION_FAILED}
   *     where the version is another or the row is absent
   */
  CompletableFuture<TableRow> replace(String table, String key, byte[] value, long expectedVersion);
}
