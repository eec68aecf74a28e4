package org.lockdale.gateway.weights;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port of the table in which the coordinator of a rollout tells the other nodes which engine moves,
 * so that they send it nothing meanwhile and know its new weights at once.
 */
public interface RolloutBoard {

  /** Returns the name of the table. */
  String table();

  /** Tells the state of an engine; fails with a table service exception. */
  CompletableFuture<@Nullable Void> tell(EngineMove move);

  /**
   * Reads a row of the table.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  EngineMove read(TableRowChange row);
}
