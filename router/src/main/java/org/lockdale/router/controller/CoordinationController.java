package org.lockdale.router.controller;

import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.configuration.ConfigurationHistory;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.MembershipSettings;
import org.lockdale.coordination.membership.Outbound;
import org.lockdale.coordination.node.CoordinationListener;
import org.lockdale.coordination.node.CoordinationNode;
import org.lockdale.coordination.time.Time;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationTransfer;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.peer.PeerTransport;
import org.lockdale.router.policy.PolicyParser;
import org.tinylog.Logger;

/**
 * Runs the coordination state machine on one event loop and publishes the sections {@code
 * configuration}, {@code policies} and {@code members}. Polls the configuration history while this
 * node is the elected poller of its zone or has no configuration yet.
 */
public final class CoordinationController implements Closeable {

  private static final long TICK_MILLIS = 100;

  private final EventLoop eventLoop;
  private final Blackboard blackboard;
  private final ConfigurationHistory history;
  private final Time time;
  private final PeerTransport transport;
  private final CoordinationNode node;
  private final Duration pollInterval;
  private volatile boolean closed;
  private boolean polling;

  /**
   * Starts the controller.
   *
   * @param eventLoop runs the state machine and its transport
   * @param blackboard blackboard to publish to
   * @param history history of accepted configuration changes
   * @param time clock
   * @param peers identity of this node and addresses of its peers
   * @param pollInterval time between two reads of the table service
   */
  public CoordinationController(
      EventLoop eventLoop,
      Blackboard blackboard,
      ConfigurationHistory history,
      Time time,
      PeerIdentity peers,
      Duration pollInterval) {
    this.eventLoop = eventLoop;
    this.blackboard = blackboard;
    this.history = history;
    this.time = time;
    this.pollInterval = pollInterval;
    this.transport =
        new PeerTransport(eventLoop, peers.bindAddress(), peers.sharedKey(), this::receive);
    Member self =
        new Member(
            peers.nodeId(),
            time.wallMillis(),
            transport.address(),
            peers.operatorPort(),
            peers.zone(),
            MemberStatus.ALIVE);
    this.node =
        new CoordinationNode(
            self,
            peers.seeds(),
            MembershipSettings.defaults(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(time.wallMillis() + peers.nodeId().hashCode()),
            new Publisher());
    eventLoop.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    eventLoop.scheduleAtFixedRate(this::poll, 0, pollInterval.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void tick() {
    if (!closed) {
      sendAll(node.tick(time.monotonicMillis()));
    }
  }

  private void receive(PeerMessage message) {
    if (!closed) {
      sendAll(node.receive(message, time.monotonicMillis()));
    }
  }

  private void sendAll(List<Outbound> outbound) {
    for (Outbound message : outbound) {
      transport.send(message);
    }
  }

  private void poll() {
    boolean shouldPoll = node.configuration().version() == 0 || node.isConfigurationPoller();
    if (closed || polling || !shouldPoll) {
      return;
    }
    polling = true;
    history
        .readAfter(node.configuration().version())
        .whenCompleteAsync(
            (transfer, failure) -> {
              polling = false;
              if (failure == null) {
                accept(transfer);
              } else {
                Logger.debug("event=configuration-poll-failed cause={}", failure.toString());
              }
            },
            eventLoop);
  }

  private void accept(ConfigurationTransfer transfer) {
    sendAll(node.accept(transfer));
  }

  /**
   * Proposes an edit to the history and applies it at this node once accepted.
   *
   * @return the accepted change
   */
  public CompletableFuture<ConfigurationChange> propose(ConfigurationChange change) {
    return history
        .propose(change)
        .whenCompleteAsync(
            (accepted, failure) -> {
              if (accepted != null) {
                accept(new ConfigurationTransfer(null, List.of(accepted)));
                snapshotIfDue();
              }
            },
            eventLoop);
  }

  private void snapshotIfDue() {
    ConfigurationState state = node.configuration();
    if (ConfigurationHistory.isSnapshotDue(state.version())) {
      history
          .writeSnapshot(state)
          .exceptionally(
              failure -> {
                // Readers fall back to the individual changes.
                Logger.warn("event=snapshot-failed cause={}", failure.toString());
                return null;
              });
    }
  }

  /** Announces to the other nodes that this node leaves the cluster. */
  public void announceLeave() {
    eventLoop.execute(() -> sendAll(node.leave()));
  }

  /** Returns the address of node-to-node messages. */
  public InetSocketAddress peerAddress() {
    return transport.address();
  }

  /** Returns the transport, for its counters and for simulated network partitions in tests. */
  public PeerTransport transport() {
    return transport;
  }

  @Override
  public void close() {
    closed = true;
    transport.close();
  }

  private final class Publisher implements CoordinationListener {
    @Override
    public void memberChanged(Member member) {
      List<Member> members = new ArrayList<>(node.membership().others());
      members.sort((left, right) -> left.id().compareTo(right.id()));
      blackboard.members().publish(List.copyOf(members), time.monotonicMillis());
      Logger.info(
          "event=member member={} zone={} status={} incarnation={}",
          member.id(),
          member.zone(),
          member.status(),
          member.incarnation());
    }

    @Override
    public void configurationChanged(ConfigurationState state) {
      long now = time.monotonicMillis();
      blackboard.configuration().publish(state, now);
      blackboard
          .policies()
          .publish(
              PolicyParser.parse(
                  state, problem -> Logger.error("event=resource-unusable problem={}", problem)),
              now);
      Logger.info("event=configuration-in-force version={}", state.version());
    }
  }
}
