package org.lockdale.gateway.node;

import java.util.Map;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.table.RowReader;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;

/** Keeps the registry of nodes from the nodes' own table. */
final class ClusterObserver implements TableFollower.Listener {

  private record VersionedNode(PeerNode node, long rowVersion) {}

  private final RowReader<VersionedNode> reader;
  private final NodeRegistry nodes;

  ClusterObserver(ClusterTable table, NodeRegistry nodes) {
    this.reader =
        new RowReader<>(row -> table.node(row).map(node -> new VersionedNode(node, row.version())));
    this.nodes = nodes;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    if (!changed) {
      return;
    }
    reader.read(rows).forEach(read -> nodes.observed(read.node(), read.rowVersion()));
    nodes.refresh();
  }
}
