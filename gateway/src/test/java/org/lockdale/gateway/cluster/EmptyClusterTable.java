package org.lockdale.gateway.cluster;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;

/** A table of nodes that keeps nothing and has no rows; tests override what they look at. */
public class EmptyClusterTable implements ClusterTable {

  @Override
  public String table() {
    return "nodes";
  }

  @Override
  public CompletableFuture<@Nullable Void> announce(PeerNode node) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<@Nullable Void> record(RecordedWeights weights) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public Optional<RecordedWeights> weights(TableRowChange row) {
    return Optional.empty();
  }

  @Override
  public Optional<PeerNode> node(TableRowChange row) {
    return Optional.empty();
  }
}
