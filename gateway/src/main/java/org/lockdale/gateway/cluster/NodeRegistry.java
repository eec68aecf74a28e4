package org.lockdale.gateway.cluster;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Registry of the nodes of the deployment. Each node announces itself in the shared table when it
 * starts and periodically after that; one that has not done so for a long time is dropped and
 * receives no more messages. Messages to a node that is gone do no harm, so no failure detection is
 * needed. Runs on one event loop; the list of peers may be read from any thread.
 *
 * <p>A node that restarts and finds its row in the table up to date does not announce itself at
 * once: if all N nodes restarted at the same moment, N announcements would each be read by all N
 * nodes, in the seconds in which these are busiest.
 */
public final class NodeRegistry {

  private static final long ANNOUNCE_INTERVAL_MILLIS = 600_000;
  private static final long RETRY_MILLIS = 500;

  /**
   * A node that has not read the table within this time announces itself without knowing its row.
   */
  private static final long FIRST_READ_TIMEOUT_MILLIS = 1_000;

  private static final long EXPIRY_MILLIS = 1_900_000;

  private record Announcement(PeerNode node, long rowVersion, long seenAtMillis) {}

  private final ScheduledExecutorService eventLoop;
  private final ClusterTable table;
  private final PeerNode self;
  private final Time time;
  private final Map<String, Announcement> announcements = new ConcurrentHashMap<>();
  private volatile List<PeerNode> peers = List.of();
  private boolean isRowCurrent;
  private boolean announcing;
  private boolean ownRowRead;
  private boolean rowMayBeLost;

  /** Creates a registry; {@link #start} starts the announcements. */
  public NodeRegistry(
      ScheduledExecutorService eventLoop, ClusterTable table, PeerNode self, Time time) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.self = self;
    this.time = time;
  }

  /** Starts the announcements: after the first read of the table, or after a timeout. */
  public void start() {
    eventLoop.schedule(this::onTableRead, FIRST_READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Called on the event loop after all rows of the table were passed to {@link #onNodeRow}. */
  public void onTableRead() {
    refresh();
    boolean isRowLost = rowMayBeLost && !ownRowRead;
    ownRowRead = false;
    rowMayBeLost = false;
    if (announcing) {
      if (isRowLost) {
        announceLostRow();
      }
      return;
    }
    announcing = true;
    if (isRowCurrent) {
      // A random delay, so that a node that restarts more often than the interval still renews its
      // row occasionally.
      long delay = ThreadLocalRandom.current().nextLong(ANNOUNCE_INTERVAL_MILLIS);
      eventLoop.schedule(this::announce, delay, TimeUnit.MILLISECONDS);
    } else {
      announce();
    }
  }

  /**
   * Called on the event loop when the store was restored from an older copy, which may lack the row
   * of this node; the next read of the table shows whether it does.
   */
  public void onHistoryReplaced() {
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
                    failure == null ? ANNOUNCE_INTERVAL_MILLIS : RETRY_MILLIS,
                    TimeUnit.MILLISECONDS),
            eventLoop);
  }

  /** Processes the row of a node. */
  public void onNodeRow(PeerNode node, long rowVersion) {
    if (node.id().equals(self.id())) {
      isRowCurrent = node.address().equals(self.address()) && node.linkMbps() == self.linkMbps();
      ownRowRead = true;
      return;
    }
    Announcement before = announcements.get(node.id());
    if (before == null || before.rowVersion() != rowVersion) {
      announcements.put(node.id(), new Announcement(node, rowVersion, time.monotonicMillis()));
    }
  }

  /** Drops nodes that have not announced themselves for a long time; to be called periodically. */
  public void refresh() {
    long now = time.monotonicMillis();
    peers =
        announcements.values().stream()
            .filter(entry -> now - entry.seenAtMillis() < EXPIRY_MILLIS)
            .map(Announcement::node)
            .sorted(Comparator.comparing(PeerNode::id))
            .toList();
  }

  /** Returns this node. */
  public PeerNode self() {
    return self;
  }

  /** Returns the other nodes, ordered by id. */
  public List<PeerNode> peers() {
    return peers;
  }
}
