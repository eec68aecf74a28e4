package org.lockdale.gateway.limit;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.cluster.RelayElection;
import org.lockdale.gateway.configuration.TenantLimit;

/**
 * A node of {@link LimitSimulation} with its successive incarnations: it elects relays, reads the
 * limits and keeps the buckets of tenants.
 */
final class LimitSimulationNode {

  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
  private static final long TICK_MILLIS = 200;
  private static final long RELAY_TICK_MILLIS = 50;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

  /**
   * Interval at which nodes renew their loans in addition to answering heartbeats, in milliseconds.
   */
  private static final long UPKEEP_INTERVAL_MILLIS = 500;

  private static final long MAX_PROOF_AGE_MILLIS = 2_000;

  /** Time after which the load balancer removes an unreachable node: it missed two checks. */
  private static final long UNREADY_MILLIS = 2_000;

  private static final int PREFERRED_NODES = 6;

  final String id;
  final boolean preferred;
  private final LimitSimulation simulation;
  private final long clockOffset;
  private final SimulatedShareLoans loans;
  private final SimulatedLimitQueries queries;
  private RelayElection election;
  private TenantBuckets buckets;
  private SimulatedLevelRow.Caller keeper;
  private Map<String, Double> reportedShares;
  private Map<String, TenantLimit> limits;
  private long incarnation;
  private long lastUpkeepAt;
  private int knownNodes;
  private long provenAt = Long.MIN_VALUE / 2;
  private long lastHeartbeatAt = Long.MIN_VALUE / 2;
  private long frozenUntil;
  boolean up;

  /**
   * Network partition of the node. Nodes of different partitions cannot reach each other; 0 is the
   * main one.
   */
  int group;

  boolean reachesStore = true;
  private long partitionedAtMillis = Long.MAX_VALUE;

  LimitSimulationNode(LimitSimulation simulation, int index) {
    this.simulation = simulation;
    this.id = "node-" + index;
    this.preferred = index < PREFERRED_NODES;
    this.clockOffset = simulation.random.nextInt(1_000_000);
    this.loans = new SimulatedShareLoans(simulation, this);
    this.queries = new SimulatedLimitQueries(simulation, this);
  }

  long clock() {
    return simulation.now() + clockOffset;
  }

  long incarnation() {
    return incarnation;
  }

  /**
   * Returns the number of nodes that this node has read from the store; 0 before the first read.
   */
  int knownNodes() {
    return knownNodes;
  }

  RelayElection election() {
    return election;
  }

  TenantBuckets buckets() {
    return buckets;
  }

  SimulatedShareLoans loans() {
    return loans;
  }

  void start() {
    up = true;
    incarnation++;
    election = new RelayElection(id, MAX_PROOF_AGE_MILLIS, simulation.kept);
    loans.start();
    buckets = new TenantBuckets(LimitSimulation.WINDOW_MILLIS, clock(), simulation.kept);
    keeper = keeper();
    queries.start();
    reportedShares = new HashMap<>();
    limits = Map.of();
    knownNodes = 0;
    lastHeartbeatAt = Long.MIN_VALUE / 2;
    long first = simulation.random.nextInt((int) TICK_MILLIS);
    long current = incarnation;
    simulation.after(first, () -> tickOf(current));
  }

  private SimulatedLevelRow.Caller keeper() {
    long current = incarnation;
    return new SimulatedLevelRow.Caller(
        new LevelKeeper(id, incarnation, LimitSimulation.WINDOW_MILLIS, buckets),
        action -> whenAwake(current, action),
        () -> reachesStore && simulation.storeUp,
        this::clock);
  }

  void kill() {
    up = false;
  }

  void freeze(long millis) {
    frozenUntil = simulation.now() + millis;
  }

  void partition(int newGroup) {
    group = newGroup;
    partitionedAtMillis = newGroup == 0 ? Long.MAX_VALUE : simulation.now();
    reachesStore = newGroup == 0;
  }

  boolean isReady() {
    return up
        && !limits.isEmpty()
        && frozenUntil <= simulation.now()
        && simulation.now() - UNREADY_MILLIS < partitionedAtMillis;
  }

  boolean isServingRelay() {
    return up && election.isServing();
  }

  /** Runs an action of an incarnation, or delays it until the node is no longer frozen. */
  void whenAwake(long ofIncarnation, Runnable action) {
    if (!up || incarnation != ofIncarnation) {
      return;
    }
    if (frozenUntil > simulation.now()) {
      simulation.at(frozenUntil, () -> whenAwake(ofIncarnation, action));
    } else {
      action.run();
    }
  }

  /** Runs an action after some milliseconds if the current incarnation still runs then. */
  void afterWhenAwake(long millis, Runnable action) {
    long current = incarnation;
    simulation.after(millis, () -> whenAwake(current, action));
  }

  private void tickOf(long tickedIncarnation) {
    if (!up || incarnation != tickedIncarnation) {
      return;
    }
    tick();
    long pause = election.isServing() ? RELAY_TICK_MILLIS : TICK_MILLIS;
    afterWhenAwake(pause, () -> tickOf(tickedIncarnation));
  }

  private void tick() {
    long now = simulation.now();
    readStore();
    if (knownNodes > 0) {
      election.tick(knownNodes, preferred, clock(), now);
    }
    if (election.isServing()) {
      if (reachesStore && simulation.storeUp) {
        provenAt = now;
      }
      if (now - lastHeartbeatAt >= HEARTBEAT_INTERVAL_MILLIS) {
        lastHeartbeatAt = now;
        sendHeartbeat();
      }
    }
    if (simulation.kept) {
      boolean first = election.isServing() && limitRelays().get(0).equals(id);
      simulation.levelRow.tick(keeper, first && !limits.isEmpty(), now);
    }
    if (now - lastUpkeepAt >= UPKEEP_INTERVAL_MILLIS) {
      lastUpkeepAt = now;
      loans.lend();
    }
  }

  /** Reads the limits from the store, or from the copy of a relay. */
  private void readStore() {
    boolean isReachedByRelay = !election.relays(clock()).isEmpty() && group == 0;
    if (simulation.storeUp && (reachesStore || isReachedByRelay)) {
      knownNodes = simulation.nodes.size();
      if (limits != simulation.limitsInStore()) {
        limits = simulation.limitsInStore();
        Map<String, Allowance> allowances = new HashMap<>();
        limits.forEach(
            (tenant, limit) -> allowances.put(tenant, Allowance.of(limit, LimitSimulation.BOUND)));
        buckets.setAllowances(allowances, clock());
      }
    }
  }

  private void sendHeartbeat() {
    long sentAt = clock();
    long senderIncarnation = incarnation;
    long provenWhen = provenAt;
    double share = buckets.share(clock());
    long since = election.servingSinceMillis();
    for (LimitSimulationNode other : simulation.nodes) {
      if (other != this) {
        simulation.send(
            this,
            other,
            () -> other.onHeartbeat(this, senderIncarnation, sentAt, since, provenWhen, share));
      }
    }
  }

  private void onHeartbeat(
      LimitSimulationNode relay,
      long relayIncarnation,
      long sentAt,
      long since,
      long provenWhen,
      double share) {
    reportedShares.put(relay.id, share);
    election.onHeartbeat(relay.id, ADDRESS, since, provenWhen + clockOffset, clock());
    loans.onHeartbeat(new ShareLender.Heartbeat(relay.id, relayIncarnation, sentAt, clock()));
  }

  /** Returns the ids of the relays that may decide on limits, the preferred one first. */
  List<String> limitRelays() {
    List<String> relays = election.limitRelays(ShareLender.TERM_MILLIS, clock());
    return LimitRelaySelector.inOrder(relays, this::shareOf);
  }

  /** Returns the sum of shares that a relay has, as far as this node knows. */
  double shareOf(String relay) {
    return relay.equals(id) ? buckets.share(clock()) : reportedShares.getOrDefault(relay, 0.0);
  }

  void onRequest(TenantTraffic traffic, double amount) {
    queries.onRequest(traffic, amount);
  }
}
