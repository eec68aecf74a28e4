package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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
 * Runs the election of relays and sends the heartbeats of this node while it serves as one. Reads
 * what other relays announce. Runs on one event loop; the relays may be read from any thread.
 */
public final class RelayController {

  /** How often a relay looks for changes to announce. */
  private static final long RELAY_TICK_MILLIS = 50;

  /** How often another node looks whether it has to serve; idle nodes wake seldom. */
  private static final long TICK_MILLIS = 200;

  private final EventLoop eventLoop;
  private final NodeRegistry nodes;
  private final DatagramExchange datagrams;
  private final List<TableFollower> followers;
  private final StoreClock clock;
  private final long life;
  private final Time time;
  private final Consumer<Boolean> onServing;
  private final DoubleSupplier lentShare;
  private final RelayElection election;
  private final HeartbeatSchedule heartbeats = new HeartbeatSchedule();
  private volatile Optional<RelayElection.Relay> coordinator = Optional.empty();
  private volatile List<RelayElection.Relay> relays = List.of();
  private volatile boolean serving;
  private boolean retired;

  /**
   * Creates a controller; {@link #start} starts it.
   *
   * @param eventLoop runs the controller and the followers
   * @param nodes nodes of the deployment
   * @param datagrams sends heartbeats
   * @param followers copies of tables; the first one's proof tells whether a relay reaches the
   *     store
   * @param clock the store's clock
   * @param maxProofAge age of its proof from which on a relay is taken to have lost the store
   * @param life tells the lives of this node apart
   * @param time clock
   * @param lentShare tells the sum of the shares of limits that are lent to this node
   * @param onServing told whether this node serves as a relay, whenever that changes
   */
  public RelayController(
      EventLoop eventLoop,
      NodeRegistry nodes,
      DatagramExchange datagrams,
      List<TableFollower> followers,
      StoreClock clock,
      Duration maxProofAge,
      long life,
      Time time,
      DoubleSupplier lentShare,
      Consumer<Boolean> onServing) {
    this.eventLoop = eventLoop;
    this.nodes = nodes;
    this.datagrams = datagrams;
    this.followers = followers;
    this.clock = clock;
    this.life = life;
    this.time = time;
    this.onServing = onServing;
    this.lentShare = lentShare;
    this.election = new RelayElection(nodes.self().id(), maxProofAge.toMillis());
  }

  /** Starts the election. */
  public void start() {
    eventLoop.execute(this::run);
  }

  /** Ceases to serve for good, as before a planned stop, and tells the others. */
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

  /** Returns whether this node serves as a relay. */
  public boolean isServing() {
    return serving;
  }

  /** Returns the other relays that can be relied on, the most senior first. */
  public List<RelayElection.Relay> relays() {
    return relays;
  }

  /** Returns the relay that places requests, or empty where this node does so itself. */
  public Optional<RelayElection.Relay> coordinator() {
    return coordinator;
  }

  /**
   * Returns the ids of the relays that may decide on limits, the most senior first; this node where
   * there is none. To be called on the event loop.
   */
  public List<String> deciders() {
    return election.deciders(ShareLender.TERM_MILLIS, time.monotonicMillis());
  }

  /** Takes in that a relay does not answer; to be called on the event loop. */
  public void failed(RelayElection.Relay relay) {
    silent(relay.id());
  }

  /** Takes in that a relay does not answer; to be called on the event loop. */
  public void silent(String relay) {
    long now = time.monotonicMillis();
    election.failed(relay, now);
    publish(now);
  }

  /** Takes in a heartbeat; to be called on the event loop. */
  public void heard(String sender, InetSocketAddress address, RelayHeartbeat heartbeat) {
    long now = time.monotonicMillis();
    if (heartbeat.getRetiring()) {
      election.retired(sender);
      publish(now);
      return;
    }
    long provenAt = Long.MIN_VALUE / 2;
    for (var proof : heartbeat.getProofs()) {
      if (proof.getTable().equals(followers.get(0).table())) {
        provenAt = Math.max(provenAt, clock.localMillis(proof.getStoreMillis()));
      }
      announce(
          sender,
          address,
          new TableProof(proof.getTable(), proof.getLastChange(), proof.getStoreMillis()));
    }
    election.heard(sender, address, heartbeat.getServingSince(), provenAt, now);
    publish(now);
  }

  private void announce(String sender, InetSocketAddress address, TableProof proof) {
    for (TableFollower follower : followers) {
      if (follower.table().equals(proof.table())) {
        follower
            .announced(address, proof)
            .thenAccept(
                current -> {
                  if (!current) {
                    election.failed(sender, time.monotonicMillis());
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
    if (serving && heartbeats.isDue(changes(), now)) {
      send(false);
    }
  }

  private boolean isPreferred() {
    double own = nodes.self().linkMbps();
    return nodes.peers().stream().noneMatch(node -> node.linkMbps() > own);
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
    if (election.isServing() != serving) {
      serving = election.isServing();
      Logger.info("event=relay-{} relays={}", serving ? "serving" : "retired", relays.size());
      followers.forEach(follower -> follower.follow(serving));
      onServing.accept(serving);
    }
  }

  private List<Long> changes() {
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
    datagrams.send(
        receivers,
        new RelayHeartbeat(
            election.servingSinceMillis(), retiring, life, now, lentShare.getAsDouble(), proofs));
    heartbeats.sent(changes(), now);
  }
}
