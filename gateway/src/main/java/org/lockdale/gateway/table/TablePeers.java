package org.lockdale.gateway.table;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Port for reading the copies of tables that other nodes hold. */
public interface TablePeers {

  /**
   * A response of another node.
   *
   * @param changes changes of the table
   * @param storeMillis time by the store's clock at which the copy was current
   * @param ageMillis age of that proof when the response was written, in milliseconds
   */
  record Response(TableChanges changes, long storeMillis, long ageMillis) {}

  /**
   * Reads the changes after a version. The future fails if the node does not respond in time, and
   * with {@link TransferTooLargeException} if the changes should be read from the store instead.
   * That does not happen if {@code afterChange} is -1.
   *
   * @param peer address of the node
   * @param table name of the table
   * @param afterChange version up to which the caller has all changes, or -1 to read all rows
   */
  CompletableFuture<Response> changes(InetSocketAddress peer, String table, long afterChange);
}
