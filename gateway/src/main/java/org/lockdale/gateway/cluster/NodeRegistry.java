package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Nodes of the deployment. Each node announces itself in the shared table when it starts and from
 * time to time; one that has not done so for long is no longer told anything. That a node is gone
 * harms nobody, so this needs no failure detection. Runs on one event loop; the list may be read
 * from any thread.
 *
 * <p>A node that comes back and finds itself on record as it is does not announce itself at once:
 * where all of N nodes come back at the same moment, N announcements would each be read by all N,
 * in the seconds in which they have the least time for it.
 */
public final class NodeRegistry {

  private static final long ANNOUNCE_MILLIS = 600_000;
  private static final long RETRY_MILLIS = 500;

  /** A node that can't read the table within this time announces itself without knowing it. */
  private static final long FIRST_READING_MILLIS = 1_000;

  private static final long FORGET_MILLIS = 1_900_000;

  private record Seen(PeerNode node, long rowVersion, long atMillis) {}

  private final EventLoop eventLoop;
  private final ClusterTable table;
  private final PeerNode self;
  private final Time time;
  private final Map<String, Seen> seen = new ConcurrentHashMap<>();
  private volatile List<PeerNode> peers = List.of();
  private boolean onRecord;
  private boolean announcing;
  private boolean ownRowRead;
  private boolean rowMayBeLost;

  /** Creates a registry; {@link #start} starts to announce. */
  public NodeRegistry(EventLoop eventLoop, ClusterTable table, PeerNode self, Time time) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.self = self;
    this.time = time;
  }

  /** Starts to announce this node, once it is known what the table says of it. */
  public void start() {
    eventLoop.schedule(this::tableRead, FIRST_READING_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Takes in that all rows were {@link #observed}; to be called on the event loop. */
  public void tableRead() {
    boolean lost = rowMayBeLost && !ownRowRead;
    ownRowRead = false;
    rowMayBeLost = false;
    if (announcing) {
      if (lost) {
        announceLostRow();
      }
      return;
    }
    announcing = true;
    if (onRecord) {
      // At any time within the usual period, so that one which restarts often renews its row too.
      long delay = ThreadLocalRandom.current().nextLong(ANNOUNCE_MILLIS);
      eventLoop.schedule(this::announce, delay, TimeUnit.MILLISECONDS);
    } else {
      announce();
    }
  }

  /**
   * Takes in that the store has come back from an older copy, which may lack the row of this node;
   * the next reading tells. To be called on the event loop.
   */
  public void historyReplaced() {
    rowMayBeLost = true;
  }

  private void announceLostRow() {
    Logger.info("event=node-row-lost node={}", self.id());
    table
        .announce(self)
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure != null) {
                eventLoop.schedule(this::announceLostRow, RETRY_MILLIS, TimeUnit.MILLISECONDS);
              }
            },
            eventLoop);
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
    if (node.id().equals(self.id())) {
      onRecord = node.address().equals(self.address()) && node.linkMbps() == self.linkMbps();
      ownRowRead = true;
      return;
    }
    Seen before = seen.get(node.id());
    if (before == null || before.rowVersion() != rowVersion) {
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
