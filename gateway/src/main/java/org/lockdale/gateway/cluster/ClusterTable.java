package org.lockdale.gateway.cluster;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.gateway.weights.EngineMove;

/**
 * Port of the table that the nodes of a deployment share: where each node is reached, and which
 * engines the coordinator of a rollout moves, so that nothing is sent to them meanwhile and their
 * new weights are known at once. Futures fail with a table service exception.
 */
public interface ClusterTable {

  /** Returns the name of the table. */
  String table();

  /** Tells the state of an engine. */
  CompletableFuture<@Nullable Void> tell(EngineMove move);

  /** Tells where this node is reached. */
  CompletableFuture<@Nullable Void> announce(PeerNode node);

  /**
   * Reads the state of an engine; empty where the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<EngineMove> engineMove(TableRowChange row);

  /**
   * Reads where a node is reached; empty where the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<PeerNode> node(TableRowChange row);
}
