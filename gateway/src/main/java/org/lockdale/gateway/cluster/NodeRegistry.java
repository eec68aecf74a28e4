package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;

/**
 * Nodes of the deployment. Each node announces itself in the shared table when it starts and from
 * time to time; one that has not done so for long is no longer told anything. That a node is gone
 * harms nobody, so this needs no failure detection. Runs on one event loop; the list may be read
 * from any thread.
 */
public final class NodeRegistry {

  private static final long ANNOUNCE_MILLIS = 600_000;
  private static final long RETRY_MILLIS = 500;
  private static final long FORGET_MILLIS = 1_900_000;

  private record Seen(PeerNode node, long rowVersion, long atMillis) {}

  private final EventLoop eventLoop;
  private final ClusterTable table;
  private final PeerNode self;
  private final Time time;
  private final Map<String, Seen> seen = new ConcurrentHashMap<>();
  private volatile List<PeerNode> peers = List.of();

  /** Creates a registry; {@link #start} starts to announce. */
  public NodeRegistry(EventLoop eventLoop, ClusterTable table, PeerNode self, Time time) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.self = self;
    this.time = time;
  }

  /** Starts to announce this node. */
  public void start() {
    eventLoop.execute(this::announce);
  }

  private void announce() {
    table
        .announce(self)
        .whenCompleteAsync(
            (done, failure) ->
                eventLoop.schedule(
                    this::announce,
                    failure == null ? ANNOUNCE_MILLIS : RETRY_MILLIS,
                    TimeUnit.MILLISECONDS),
            eventLoop);
  }

  /** Takes in the row of a node. */
  public void observed(PeerNode node, long rowVersion) {
    Seen before = seen.get(node.id());
    if (!node.id().equals(self.id()) && (before == null || before.rowVersion() != rowVersion)) {
      seen.put(node.id(), new Seen(node, rowVersion, time.monotonicMillis()));
    }
  }

  /** Forgets nodes that have been silent for long; to be called from time to time. */
  public void refresh() {
    long now = time.monotonicMillis();
    peers =
        seen.values().stream()
            .filter(entry -> now - entry.atMillis() < FORGET_MILLIS)
            .map(Seen::node)
            .sorted(Comparator.comparing(PeerNode::id))
            .toList();
  }

  /** Returns this node. */
  public PeerNode self() {
    return self;
  }

  /** Returns the other nodes in order of their ids. */
  public List<PeerNode> peers() {
    return peers;
  }
}
