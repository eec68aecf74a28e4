package org.lockdale.router.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.engine.EngineView;

/** Reports the status of this node and, by querying the others, of all nodes. */
public final class StatusReporter {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration NODE_TIMEOUT = Duration.ofSeconds(1);
  private static final int OK = 200;

  private final Blackboard blackboard;
  private final String nodeId;
  private final String zone;
  private final Time time;
  private final HttpClient client;
  private final RequestCounts counts;

  /**
   * Counters of the request path.
   *
   * @param inFlight number of requests that have not ended
   * @param queued number of requests that wait for an engine
   * @param pendingClaimEnds number of final states of claims still to be written
   */
  public record RequestCounts(
      IntSupplier inFlight, IntSupplier queued, IntSupplier pendingClaimEnds) {}

  /** Creates a reporter for a node. */
  public StatusReporter(
      Blackboard blackboard,
      String nodeId,
      String zone,
      Time time,
      HttpClient client,
      RequestCounts counts) {
    this.blackboard = blackboard;
    this.nodeId = nodeId;
    this.zone = zone;
    this.time = time;
    this.client = client;
    this.counts = counts;
  }

  /** Returns the status of this node. */
  public NodeStatus ofNode() {
    List<NodeStatus.MemberStatusLine> members = new ArrayList<>();
    for (Member member : blackboard.members().value()) {
      members.add(
          new NodeStatus.MemberStatusLine(
              member.id(),
              member.zone(),
              member.status().name(),
              member.incarnation(),
              member.operatorAddress().getAddress().getHostAddress()
                  + ":"
                  + member.operatorPort()));
    }
    List<NodeStatus.EngineStatusLine> engines = new ArrayList<>();
    for (EngineView engine : blackboard.engines().value().engines()) {
      engines.add(statusOf(engine));
    }
    return new NodeStatus(
        nodeId,
        zone,
        blackboard.phase().value().name(),
        blackboard.configuration().value().version(),
        counts.inFlight().getAsInt(),
        counts.queued().getAsInt(),
        counts.pendingClaimEnds().getAsInt(),
        members,
        engines);
  }

  private NodeStatus.EngineStatusLine statusOf(EngineView engine) {
    long now = time.monotonicMillis();
    boolean reported = !engine.incarnation().isEmpty();
    Map<String, String> labels = new TreeMap<>(engine.labels());
    return new NodeStatus.EngineStatusLine(
        engine.id(),
        engine.zone(),
        engine.isUsable(now),
        engine.leaving(),
        engine.incarnation(),
        engine.weights(),
        labels,
        engine.load().running(),
        engine.load().queued(),
        engine.load().maxRunning(),
        reported ? now - engine.load().reportedAtMillis() : -1);
  }

  /** Queries the status of all nodes that are considered reachable. */
  public CompletableFuture<ClusterStatus> ofCluster() {
    Map<String, CompletableFuture<NodeStatus>> statuses = new TreeMap<>();
    statuses.put(nodeId, CompletableFuture.completedFuture(ofNode()));
    for (Member member : blackboard.members().value()) {
      if (member.isReachable()) {
        statuses.put(member.id(), requestStatus(member));
      }
    }
    CompletableFuture<?>[] settled =
        statuses.values().stream()
            .map(future -> future.handle((status, failure) -> null))
            .toArray(CompletableFuture[]::new);
    return CompletableFuture.allOf(settled).thenApply(ignored -> collect(statuses));
  }

  private CompletableFuture<NodeStatus> requestStatus(Member member) {
    return client
        .exchange(
            member.operatorAddress(), HttpRequestMessage.get(OperatorApi.STATUS), NODE_TIMEOUT)
        .thenApply(StatusReporter::parse);
  }

  private static NodeStatus parse(HttpReply reply) {
    if (reply.status() != OK) {
      throw new IllegalStateException("the node responded with status " + reply.status());
    }
    try {
      return MAPPER.readValue(reply.body(), NodeStatus.class);
    } catch (IOException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }

  private static ClusterStatus collect(Map<String, CompletableFuture<NodeStatus>> statuses) {
    List<NodeStatus> nodes = new ArrayList<>();
    List<String> silent = new ArrayList<>();
    long highest = 0;
    for (Map.Entry<String, CompletableFuture<NodeStatus>> entry : statuses.entrySet()) {
      if (entry.getValue().isCompletedExceptionally()) {
        silent.add(entry.getKey());
      } else {
        NodeStatus status = entry.getValue().join();
        nodes.add(status);
        highest = Math.max(highest, status.configurationVersion());
      }
    }
    boolean everywhere = silent.isEmpty();
    for (NodeStatus status : nodes) {
      everywhere &= status.configurationVersion() == highest;
    }
    return new ClusterStatus(highest, everywhere, nodes, silent);
  }
}
