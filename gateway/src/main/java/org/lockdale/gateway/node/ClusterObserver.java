package org.lockdale.gateway.node;

import java.util.Map;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.RecordedWeights;
import org.lockdale.gateway.table.RowReader;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;

/** Passes on what the nodes' own table holds: other nodes, and when weights were named. */
final class ClusterObserver implements TableFollower.Listener {

  private record VersionedNode(PeerNode node, long rowVersion) {}

  private final RowReader<VersionedNode> nodeReader;
  private final RowReader<RecordedWeights> weightsReader;
  private final NodeRegistry nodes;
  private final WeightsRecorder recorder;
  private final OperatorController operators;

  ClusterObserver(
      ClusterTable table,
      NodeRegistry nodes,
      WeightsRecorder recorder,
      OperatorController operators) {
    this.nodeReader =
        new RowReader<>(row -> table.node(row).map(node -> new VersionedNode(node, row.version())));
    this.weightsReader = new RowReader<>(table::weights);
    this.nodes = nodes;
    this.recorder = recorder;
    this.operators = operators;
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    if (!changed) {
      return;
    }
    nodeReader.read(rows).forEach(read -> nodes.observed(read.node(), read.rowVersion()));
    for (RecordedWeights row : weightsReader.read(rows)) {
      operators.onWitnessed(row.model(), recorder.observed(row));
    }
    nodes.refresh();
    nodes.tableRead();
  }
}
