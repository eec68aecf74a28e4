package org.lockdale.gateway.node;

import java.util.Map;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.table.MalformedRecordException;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;
import org.tinylog.Logger;

/** Keeps the registry of nodes from the nodes' own table. */
final class ClusterObserver implements TableFollower.Listener {

  private final ClusterTable table;
  private final NodeRegistry nodes;

  ClusterObserver(ClusterTable table, NodeRegistry nodes) {
    this.table = table;
    this.nodes = nodes;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    if (!changed) {
      return;
    }
    for (TableRowChange row : rows.values()) {
      try {
        table.node(row).ifPresent(node -> nodes.observed(node, row.version()));
      } catch (MalformedRecordException malformed) {
        Logger.warn("event=cluster-row-rejected cause=\"{}\"", malformed.getMessage());
      }
    }
    nodes.refresh();
  }
}
