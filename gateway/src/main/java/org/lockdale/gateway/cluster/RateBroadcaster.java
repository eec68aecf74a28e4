package org.lockdale.gateway.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Broadcasts changed rates of backends to the other nodes, the latest rate of each backend at
 * limited intervals. Runs on the executor of its {@link RateExchange}.
 */
final class RateBroadcaster {

  /** Shortest time between two broadcasts, since a rate may change with each response. */
  private static final long BROADCAST_INTERVAL_MILLIS = 200;

  /**
   * Maximum number of nodes that a broadcast reaches if there is no coordinator to inform all of
   * them.
   */
  private static final int MAX_RECEIVERS_WITHOUT_COORDINATOR = 16;

  private static final int RECEIVER_OFFSET_SPREAD = 1_024;

  private final RateExchange.Context context;
  private final RateReportSender sender;

  /** The latest changed rate of each backend that is still to be broadcast. */
  private final Map<String, RateObservation> pending = new HashMap<>();

  private boolean scheduled;

  /** Index of the first receiver of the next partial broadcast; nodes start at different ones. */
  private int nextReceiver;

  RateBroadcaster(RateExchange.Context context, RateReportSender sender) {
    this.context = context;
    this.sender = sender;
    this.nextReceiver = Math.floorMod(context.selfId().hashCode(), RECEIVER_OFFSET_SPREAD);
  }

  /** Broadcasts a changed rate, at once if the interval since the last broadcast has passed. */
  void broadcast(RateObservation changed) {
    pending.put(changed.backend(), changed);
    if (!scheduled) {
      broadcastPending();
    }
  }

  /** Broadcasts pending changes, and schedules a broadcast of those that follow meanwhile. */
  private void broadcastPending() {
    scheduled = !pending.isEmpty();
    if (scheduled) {
      sender.send(
          receivers().stream().map(PeerNode::address).toList(), List.copyOf(pending.values()));
      pending.clear();
      context
          .executor()
          .schedule(this::broadcastPending, BROADCAST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Returns the receivers of a broadcast. Without a coordinator every node places its own requests
   * and broadcasts; messages from each node to each other would overload them, so each broadcast
   * goes to the next few nodes in turn.
   */
  private List<PeerNode> receivers() {
    List<PeerNode> peers = new ArrayList<>(context.peers().get());
    if (context.isCoordinator().getAsBoolean()
        || peers.size() <= MAX_RECEIVERS_WITHOUT_COORDINATOR) {
      return peers;
    }
    Collections.rotate(peers, nextReceiver);
    nextReceiver = (nextReceiver + MAX_RECEIVERS_WITHOUT_COORDINATOR) % peers.size();
    return peers.subList(0, MAX_RECEIVERS_WITHOUT_COORDINATOR);
  }
}
