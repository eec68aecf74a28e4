package org.lockdale.gateway.cluster;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port of the table in which the nodes of a deployment tell each other where they are reached and
 * what a node that starts can't know. Futures fail with a table service exception.
 */
public interface ClusterTable {

  /** Returns the name of the table. */
  String table();

  /** Tells where this node is reached. */
  CompletableFuture<@Nullable Void> announce(PeerNode node);

  /** Records when the weights of a model were named, in place of what was recorded before. */
  CompletableFuture<@Nullable Void> record(RecordedWeights weights);

  /**
   * Reads when the weights of a model were named; empty where the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<RecordedWeights> weights(TableRowChange row);

  /**
   * Reads where a node is reached; empty where the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<PeerNode> node(TableRowChange row);
}
