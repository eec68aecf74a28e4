package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.limit.ShareLender;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TableProof;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.TableProofRecord;
import org.tinylog.Logger;

/**
 * Runs the election of relays and sends the heartbeats of this node while it serves as one.
 * Forwards the table versions in the heartbeats of other relays to this node's table followers.
 * Runs on one event loop; the relays may be read from any thread.
 */
public final class RelayController {

  /** Interval at which a relay checks for changes to announce. */
  private static final long RELAY_TICK_MILLIS = 50;

  /**
   * Interval at which a node that is not a relay checks whether it has to serve; longer, so that
   * idle nodes seldom wake up.
   */
  private static final long TICK_MILLIS = 200;

  private final ScheduledExecutorService eventLoop;
  private final NodeRegistry nodes;
  private final BiConsumer<List<InetSocketAddress>, RelayHeartbeat> heartbeatSender;
  private final List<TableFollower> followers;
  private final StoreClock clock;
  private final long incarnation;
  private final Time time;
  private final Consumer<Boolean> onServing;
  private final DoubleSupplier lentShare;
  private final RelayElection election;
  private final HeartbeatSchedule heartbeats = new HeartbeatSchedule();
  private volatile Optional<RelayElection.Relay> coordinator = Optional.empty();
  private volatile List<RelayElection.Relay> relays = List.of();
  private volatile boolean serving;
  private boolean retired;
  private boolean hearsConnectedRelay;

  /**
   * Creates a controller; {@link #start} starts it.
   *
   * @param eventLoop runs the controller and the followers
   * @param nodes nodes of the deployment
   * @param heartbeatSender sends a heartbeat to nodes
   * @param followers copies of tables; the proof of the first one shows whether a relay reaches the
   *     store
   * @param clock the store's clock
   * @param maxProofAge age of its proof from which on the election counts a relay as disconnected
   *     from the store
   * @param incarnation identifies this run of the node's process
   * @param quickStart whether the first relay after a start of all nodes is to serve sooner
   * @param time clock
   * @param lentShare supplies the sum of the shares of limits that are lent to this node, from 0 to
   *     1
   * @param onServing receives whether this node serves as a relay, whenever that changes
   */
  public RelayController(
      ScheduledExecutorService eventLoop,
      NodeRegistry nodes,
      BiConsumer<List<InetSocketAddress>, RelayHeartbeat> heartbeatSender,
      List<TableFollower> followers,
      StoreClock clock,
      Duration maxProofAge,
      long incarnation,
      boolean quickStart,
      Time time,
      DoubleSupplier lentShare,
      Consumer<Boolean> onServing) {
    this.eventLoop = eventLoop;
    this.nodes = nodes;
    this.heartbeatSender = heartbeatSender;
    this.followers = followers;
    this.clock = clock;
    this.incarnation = incarnation;
    this.time = time;
    this.onServing = onServing;
    this.lentShare = lentShare;
    this.election = new RelayElection(nodes.self().id(), maxProofAge.toMillis(), quickStart);
  }

  /** Starts the election. */
  public void start() {
    eventLoop.execute(this::run);
  }

  /** Stops serving for good, as before a planned stop, and notifies the other nodes. */
  public void retire() {
    eventLoop.execute(
        () -> {
          retired = true;
          if (serving) {
            election.retire();
            send(true);
            publish(time.monotonicMillis());
          }
        });
  }

  /** Returns the nodes of the deployment. */
  public NodeRegistry nodes() {
    return nodes;
  }

  /** Returns whether this node serves as a relay. */
  public boolean isServing() {
    return serving;
  }

  /**
   * Returns the number of nodes among which the engines are divided where this node decides: 1 at a
   * relay, and all nodes at one that knows no relay.
   */
  public int deciders() {
    return serving ? 1 : nodes.peers().size() + 1;
  }

  /** Returns the other relays that place requests, the most senior first. */
  public List<RelayElection.Relay> relays() {
    return relays;
  }

  /** Returns the relay that places requests, or empty if this node does so itself. */
  public Optional<RelayElection.Relay> coordinator() {
    return coordinator;
  }

  /**
   * Returns the ids of the relays that may decide on limits, the most senior first; this node if
   * there is none. To be called on the event loop.
   */
  public List<String> limitRelays() {
    return election.limitRelays(ShareLender.TERM_MILLIS, time.monotonicMillis());
  }

  /** Called on the event loop when a relay does not respond. */
  public void markUnresponsive(RelayElection.Relay relay) {
    markUnresponsiveById(relay.id());
  }

  /**
   * Called on the event loop when a relay does not respond.
   *
   * @param relay id of the relay
   */
  public void markUnresponsiveById(String relay) {
    long now = time.monotonicMillis();
    election.markUnresponsive(relay, now);
    publish(now);
  }

  /** Processes a heartbeat; to be called on the event loop. */
  public void onHeartbeat(String sender, InetSocketAddress address, RelayHeartbeat heartbeat) {
    long now = time.monotonicMillis();
    if (heartbeat.getRetiring()) {
      election.onRetired(sender);
      publish(now);
      return;
    }
    long provenAt = Long.MIN_VALUE / 2;
    for (var proof : heartbeat.getProofs()) {
      if (proof.getTable().equals(followers.get(0).table())) {
        provenAt = Math.max(provenAt, clock.localMillis(proof.getStoreMillis()));
      }
      offerProof(
          sender,
          address,
          new TableProof(proof.getTable(), proof.getLastChange(), proof.getStoreMillis()));
    }
    election.onHeartbeat(sender, address, heartbeat.getServingSince(), provenAt, now);
    publish(now);
  }

  private void offerProof(String sender, InetSocketAddress address, TableProof proof) {
    for (TableFollower follower : followers) {
      if (follower.table().equals(proof.table())) {
        follower
            .onProofAnnounced(address, proof)
            .thenAccept(
                current -> {
                  if (!current) {
                    election.markUnresponsive(sender, time.monotonicMillis());
                  }
                });
      }
    }
  }

  private void run() {
    tick();
    long delay = serving ? RELAY_TICK_MILLIS : TICK_MILLIS;
    eventLoop.schedule(this::run, delay, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    long now = time.monotonicMillis();
    if (!retired && followers.stream().allMatch(TableFollower::isKnown)) {
      election.tick(nodes.peers().size() + 1, isPreferred(), now, clock.storeMillis(now));
    }
    publish(now);
    if (serving && heartbeats.isDue(lastChanges(), now)) {
      send(false);
    }
  }

  private boolean isPreferred() {
    double linkMbps = nodes.self().linkMbps();
    return nodes.peers().stream().noneMatch(node -> node.linkMbps() > linkMbps);
  }

  private void publish(long nowMillis) {
    relays = election.relays(nowMillis);
    Optional<RelayElection.Relay> elected = election.coordinator(nowMillis);
    if (!elected.map(RelayElection.Relay::id).equals(coordinator.map(RelayElection.Relay::id))) {
      Logger.info(
          "event=coordinator-changed coordinator={}",
          elected.map(RelayElection.Relay::id).orElse("none"));
    }
    coordinator = elected;
    logConnection(nowMillis);
    if (election.isServing() != serving) {
      serving = election.isServing();
      Logger.info("event=relay-{} relays={}", serving ? "serving" : "retired", relays.size());
      followers.forEach(follower -> follower.follow(serving));
      onServing.accept(serving);
    }
  }

  private void logConnection(long nowMillis) {
    boolean connected = election.hearsConnectedRelay(nowMillis);
    if (connected != hearsConnectedRelay) {
      hearsConnectedRelay = connected;
      Logger.info(
          "event=relays-{} heard={}",
          connected ? "connected" : "disconnected",
          election.heard(nowMillis));
    }
  }

  private List<Long> lastChanges() {
    return followers.stream().map(follower -> follower.proof().lastChange()).toList();
  }

  private void send(boolean retiring) {
    long now = time.monotonicMillis();
    List<TableProofRecord> proofs = new ArrayList<>();
    for (TableFollower follower : followers) {
      TableProof proof = follower.proof();
      proofs.add(new TableProofRecord(proof.table(), proof.lastChange(), proof.storeMillis()));
    }
    List<InetSocketAddress> receivers = nodes.peers().stream().map(PeerNode::address).toList();
    heartbeatSender.accept(
        receivers,
        new RelayHeartbeat(
            election.servingSinceMillis(),
            retiring,
            incarnation,
            now,
            lentShare.getAsDouble(),
            proofs));
    heartbeats.sent(lastChanges(), now);
  }
}
