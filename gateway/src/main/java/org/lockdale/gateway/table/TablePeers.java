package org.lockdale.gateway.table;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Port by which a node reads the copies of tables that other nodes hold. */
public interface TablePeers {

  /**
   * An answer of another node.
   *
   * @param changes changes of the table
   * @param storeMillis time by the store's clock at which the copy was current
   * @param ageMillis age of that proof when the answer was written
   */
  record Answer(TableChanges changes, long storeMillis, long ageMillis) {}

  /**
   * Reads the changes after a version; fails where the node does not answer in time, and with
   * {@link TooMuchToTellException} where the store had better be asked. That never happens without
   * a version.
   *
   * @param peer address of the node
   * @param table name of the table
   * @param afterChange version up to which all changes are known, -1 for none
   */
  CompletableFuture<Answer> changes(InetSocketAddress peer, String table, long afterChange);
}
