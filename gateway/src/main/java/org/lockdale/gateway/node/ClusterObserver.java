package org.lockdale.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.table.MalformedRecordException;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.gateway.weights.EngineMove;
import org.lockdale.gateway.weights.RolloutProgress;
import org.tinylog.Logger;

/** Keeps the section {@code rollout} and the registry of nodes from the nodes' own table. */
final class ClusterObserver implements TableFollower.Listener {

  private final GatewayBlackboard blackboard;
  private final ClusterTable table;
  private final NodeRegistry nodes;
  private final Time time;

  ClusterObserver(GatewayBlackboard blackboard, ClusterTable table, NodeRegistry nodes, Time time) {
    this.blackboard = blackboard;
    this.table = table;
    this.nodes = nodes;
    this.time = time;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    if (!changed) {
      return;
    }
    List<EngineMove> moves = new ArrayList<>();
    for (TableRowChange row : rows.values()) {
      try {
        table.engineMove(row).ifPresent(moves::add);
        table.node(row).ifPresent(node -> nodes.observed(node, row.version()));
      } catch (MalformedRecordException malformed) {
        Logger.warn("event=cluster-row-rejected cause=\"{}\"", malformed.getMessage());
      }
    }
    long now = time.monotonicMillis();
    RolloutProgress progress = blackboard.rollout().value().with(moves, now);
    blackboard.rollout().publish(progress, provenAtMillis);
    blackboard.backends().value().all().forEach(progress::observe);
  }
}
