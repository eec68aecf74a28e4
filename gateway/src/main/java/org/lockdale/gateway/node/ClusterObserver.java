package org.lockdale.gateway.node;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.RecordedTargetVersions;
import org.lockdale.gateway.quarantine.Suspect;
import org.lockdale.gateway.quarantine.SuspectAttempt;
import org.lockdale.gateway.quarantine.SuspectTable;
import org.lockdale.gateway.quarantine.TrialClaim;
import org.lockdale.gateway.quarantine.part.PartSuspect;
import org.lockdale.gateway.resume.OriginStore;
import org.lockdale.gateway.resume.RecordedVersion;
import org.lockdale.gateway.table.RowReader;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Dispatches the rows of the cluster table: addresses of other nodes, times at which target
 * versions of weights were set, software versions of backends, and requests that are suspected of
 * crashing backends.
 */
final class ClusterObserver implements TableFollower.Listener {

  private record VersionedNode(PeerNode node, long rowVersion) {}

  private final RowReader<VersionedNode> nodeReader;
  private final RowReader<RecordedTargetVersions> versionsReader;
  private final RowReader<Suspect> suspectReader;
  private final RowReader<SuspectAttempt> attemptReader;
  private final RowReader<TrialClaim> trialReader;
  private final NodeRegistry nodes;
  private final TargetVersionRecorder recorder;
  private final OperatorController operators;
  private final RowReader<PartSuspect> partReader;
  private final RowReader<RecordedVersion> softwareReader;
  private final ResumeServices resumes;
  private final Consumer<List<PartSuspect>> onParts;
  private final Consumer<List<TrialClaim>> onTrials;
  private final BiConsumer<List<Suspect>, List<SuspectAttempt>> onSuspects;
  private boolean historyReplaced;

  ClusterObserver(
      ClusterTable table,
      SuspectTable suspects,
      OriginStore origins,
      ResumeServices resumes,
      NodeRegistry nodes,
      TargetVersionRecorder recorder,
      OperatorController operators,
      Consumer<List<PartSuspect>> onParts,
      Consumer<List<TrialClaim>> onTrials,
      BiConsumer<List<Suspect>, List<SuspectAttempt>> onSuspects) {
    this.nodeReader =
        new RowReader<>(
            row -> table.parseNode(row).map(node -> new VersionedNode(node, row.version())));
    this.versionsReader = new RowReader<>(table::parseTargetVersions);
    this.suspectReader = new RowReader<>(suspects::readSuspect);
    this.attemptReader = new RowReader<>(suspects::readAttempt);
    this.trialReader = new RowReader<>(suspects::readTrial);
    this.partReader = new RowReader<>(suspects::readPart);
    this.softwareReader = new RowReader<>(origins::parseVersion);
    this.resumes = resumes;
    this.onParts = onParts;
    this.onTrials = onTrials;
    this.onSuspects = onSuspects;
    this.nodes = nodes;
    this.recorder = recorder;
    this.operators = operators;
  }

  @Override
  public void onHistoryReplaced() {
    historyReplaced = true;
    nodes.onHistoryReplaced();
  }

  @Override
  public void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis) {
    if (!changed) {
      resumes.history().onProof(provenAtMillis);
      return;
    }
    resumes.onRecordedVersions(softwareReader.read(rows));
    resumes.history().onProof(provenAtMillis);
    nodeReader.read(rows).forEach(read -> nodes.onNodeRow(read.node(), read.rowVersion()));
    List<RecordedTargetVersions> recorded = versionsReader.read(rows);
    if (historyReplaced) {
      historyReplaced = false;
      recorder.onHistoryReplaced(recorded);
    }
    for (RecordedTargetVersions row : recorded) {
      operators.onObservedByPeers(row.model(), recorder.observe(row));
    }
    // Before the suspects, the first reading of which lets this node serve requests.
    onParts.accept(partReader.read(rows));
    onTrials.accept(trialReader.read(rows));
    onSuspects.accept(suspectReader.read(rows), attemptReader.read(rows));
    nodes.refresh();
    nodes.onTableRead();
  }
}
