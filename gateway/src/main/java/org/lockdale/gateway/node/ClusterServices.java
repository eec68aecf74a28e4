package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cache.CacheDirectory;
import org.lockdale.gateway.cache.CachePlanner;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.NodeListener;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.cluster.NodeReporter;
import org.lockdale.gateway.cluster.PeerLoads;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.PeerNotices;
import org.lockdale.gateway.cluster.PlacementClient;
import org.lockdale.gateway.cluster.PlacementResponder;
import org.lockdale.gateway.cluster.RelayController;
import org.lockdale.gateway.cluster.ReportReceiver;
import org.lockdale.gateway.cluster.SuspectCatchUp;
import org.lockdale.gateway.cluster.TableSliceClient;
import org.lockdale.gateway.limit.TenantLimiter;
import org.lockdale.gateway.placement.BackendChooser;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementService;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.quarantine.Suspect;
import org.lockdale.gateway.quarantine.SuspectAttempt;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.gateway.weights.EngineMove;
import org.lockdale.gateway.weights.RolloutProgress;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.lockdale.http.HttpClient;

/** What a node does together with the other nodes: copies of tables, relays, placement. */
final class ClusterServices {

  private static final long UPKEEP_MILLIS = 500;

  /** A proof may be older than one wait by the time until the next heartbeat, and a lost one. */
  private static final Duration PROOF_MARGIN = Duration.ofMillis(1_000);

  private final EventLoop eventLoop;
  private final GatewayBlackboard blackboard;
  private final Time time;
  private final PeerLoads peerLoads;
  private final CacheDirectory cacheDirectory;
  private final NodeRegistry nodes;
  private final DatagramExchange datagrams;
  private final TableFollowers tables;
  private final RelayController relays;
  private final NodeReporter reporter;
  private final PlacementDecider decider;
  private final PlacementClient placements;
  private final WeightsRecorder weightsRecorder;
  private final OperatorController operators;
  private final BackendController backends;
  private final LimitServices limits;
  private final Quarantine quarantine;
  private final SuspectCatchUp suspectCatchUp;
  private final LifeServices lives;
  private final SuspensionLog suspensions;

  /**
   * Creates the services; {@link #start} starts them.
   *
   * @param eventLoop runs them
   * @param settings settings of the node
   * @param blackboard what the node believes
   * @param protocols adapters of the deployment
   * @param controlClient calls other nodes
   * @param backendClient told of back ends that are gone
   * @param meter counts what is exchanged with other nodes
   * @param time clock
   * @param startedAtMillis monotonic time at which the process began
   */
  ClusterServices(
      EventLoop eventLoop,
      GatewaySettings settings,
      GatewayBlackboard blackboard,
      GatewayProtocols protocols,
      HttpClient controlClient,
      HttpClient backendClient,
      TrafficMeter meter,
      Time time,
      long startedAtMillis) {
    this.eventLoop = eventLoop;
    this.blackboard = blackboard;
    this.time = time;
    suspensions = new SuspensionLog(time);
    peerLoads = new PeerLoads(time);
    cacheDirectory = cacheDirectory(protocols);
    PeerNode self = self(settings);
    long life = ThreadLocalRandom.current().nextLong();
    nodes = new NodeRegistry(eventLoop, protocols.clusterTable(), self, time);
    datagrams = new DatagramExchange(self.id(), self.address(), eventLoop, meter);
    limits =
        new LimitServices(
            eventLoop, settings, blackboard, limitCluster(self.id(), life), time, startedAtMillis);
    StoreClock clock = new StoreClock();
    TableFollower.Sources sources =
        new TableFollower.Sources(protocols.feed(), new TableSliceClient(controlClient), clock);
    weightsRecorder =
        new WeightsRecorder(
            blackboard.weights(),
            protocols.clusterTable(),
            clock,
            this::isCoordinator,
            eventLoop,
            time);
    operators = operators(settings, protocols, startedAtMillis);
    backends = backends(settings, protocols, backendClient);
    tables = tables(sources, settings, protocols);
    relays = relays(settings, clock, life);
    reporter =
        new NodeReporter(
            eventLoop, datagrams, () -> blackboard.backends().value(), relays::relays, time);
    decider =
        new PlacementDecider(
            blackboard,
            new BackendChooser(peerLoads),
            new CachePlanner(cacheDirectory, reporter::expect),
            new WeightsPolicy(settings.get(GatewaySettings.WEIGHTS_BOUND).toMillis()),
            limits.rates());
    placements =
        new PlacementClient(placementContext(), PlacementClient.ANSWER_TIME, relays::failed);
    quarantine =
        new Quarantine(
            quarantineContext(protocols, controlClient),
            blackboard.suspects(),
            settings.get(GatewaySettings.QUARANTINE_HOLD).toMillis());
    suspectCatchUp = new SuspectCatchUp(eventLoop, controlClient, nodes::peers, quarantine::told);
    lives =
        LifeServices.of(
            eventLoop, protocols.engines(), blackboard, new PeerNotices(nodes, datagrams), time);
  }

  private OperatorController operators(
      GatewaySettings settings, GatewayProtocols protocols, long startedAtMillis) {
    return new OperatorController(
        blackboard,
        protocols.records(),
        time,
        startedAtMillis,
        settings.get(GatewaySettings.WEIGHTS_BOUND),
        settings.get(GatewaySettings.NODE_CATCH_UP),
        // The operators' table is followed after all is made.
        () -> backends.onConfiguration());
  }

  private BackendController backends(
      GatewaySettings settings, GatewayProtocols protocols, HttpClient backendClient) {
    return new BackendController(
        eventLoop,
        blackboard,
        protocols.records(),
        backendClient,
        TableFollowers.outage(settings),
        // The table of back ends is followed after all is made.
        after -> lives.leavings().recall(after),
        time);
  }

  private static PeerNode self(GatewaySettings settings) {
    return new PeerNode(
        settings.get(GatewaySettings.NODE_ID),
        settings.get(GatewaySettings.PEERS_ADDRESS),
        settings.get(GatewaySettings.NODE_LINK));
  }

  /** The limits are made before the relays, and decided on after both. */
  private LimitServices.Cluster limitCluster(String selfId, long life) {
    return new LimitServices.Cluster(
        selfId,
        life,
        datagrams,
        () -> relays.deciders(),
        relay -> relays.silent(relay),
        () -> relays.coordinator(),
        this::isCoordinator,
        () -> relays.relays(),
        nodes::peers,
        this::size);
  }

  private Quarantine.Context quarantineContext(GatewayProtocols protocols, HttpClient client) {
    return new Quarantine.Context(
        eventLoop,
        client::probe,
        () -> blackboard.backends().snapshot(),
        protocols.suspects(),
        new PeerNotices(nodes, datagrams)::suspects,
        this::isCoordinator,
        time);
  }

  /** The followers are made before the quarantine, and read after it. */
  private void suspectsOnRecord(List<Suspect> suspects, List<SuspectAttempt> attempts) {
    quarantine.observed(suspects, attempts);
  }

  private CacheDirectory cacheDirectory(GatewayProtocols protocols) {
    return new CacheDirectory(
        eventLoop,
        protocols.cacheEvents(),
        () -> blackboard.backends().value(),
        () -> blackboard.configuration().value().cacheStores());
  }

  private PlacementClient.Context placementContext() {
    return new PlacementClient.Context(
        eventLoop,
        datagrams,
        relays::coordinator,
        relays::relays,
        () -> blackboard.backends().value(),
        decider,
        limits.rateExchange(),
        reporter,
        time);
  }

  private RelayController relays(GatewaySettings settings, StoreClock clock, long life) {
    return new RelayController(
        eventLoop,
        nodes,
        datagrams,
        tables.all(),
        clock,
        settings.get(GatewaySettings.STORE_WAIT).plus(PROOF_MARGIN),
        life,
        time,
        limits.responder()::share,
        cacheDirectory::follow);
  }

  private TableFollowers tables(
      TableFollower.Sources sources, GatewaySettings settings, GatewayProtocols protocols) {
    ClusterObserver cluster =
        new ClusterObserver(
            protocols.clusterTable(),
            protocols.suspects(),
            nodes,
            weightsRecorder,
            operators,
            this::suspectsOnRecord);
    return TableFollowers.of(
        eventLoop, sources, settings, protocols, time, operators, backends, cluster);
  }

  /**
   * Starts the services.
   *
   * @throws org.lockdale.http.HttpBindException if the address for datagrams can't be bound
   */
  void start() {
    ReportReceiver reports =
        new ReportReceiver(
            () -> blackboard.backends().value(), peerLoads, time, this::moved, this::expectParts);
    PlacementResponder responder = new PlacementResponder(datagrams, decider, peerLoads, time);
    datagrams.start(
        new NodeListener(
            relays,
            reports,
            responder,
            limits.responder(),
            limits.client(),
            limits.rateExchange(),
            placements,
            quarantine::told,
            lives.watch()::told,
            lives.statements()::told));
    quarantine.start();
    suspectCatchUp.start();
    nodes.start();
    tables.all().forEach(TableFollower::start);
    relays.start();
    reporter.start();
    cacheDirectory.start();
    eventLoop.scheduleAtFixedRate(
        this::upkeep, UPKEEP_MILLIS, UPKEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void upkeep() {
    suspensions.tick();
    nodes.refresh();
    weightsRecorder.tick();
    peerLoads.expire();
    lives.leavings().tick(blackboard.backends().value());
    Set<String> engines = new HashSet<>();
    blackboard.backends().value().all().forEach(tracked -> engines.add(tracked.backend().id()));
    reporter.retain(engines);
    limits.upkeep(engines);
  }

  /** Ceases to serve other nodes, as before a planned stop. */
  void retire() {
    relays.retire();
  }

  /** Stops following the store. */
  void close() {
    tables.all().forEach(TableFollower::close);
  }

  /** Tells the state of an engine in a rollout to all who place requests. */
  void announce(EngineMove move) {
    moved(move);
    reporter.moved(move);
  }

  /** Returns the prompt tokens that wait at an engine, of the requests of all nodes. */
  long waitingTokens(TrackedBackend engine) {
    return engine.load().waitingTokens() + peerLoads.at(engine.backend().id()).waitingTokens();
  }

  private void moved(EngineMove move) {
    long now = time.monotonicMillis();
    RolloutProgress progress = blackboard.rollout().value().with(move, now);
    blackboard.rollout().publish(progress, now);
    blackboard.backends().value().all().forEach(progress::observe);
  }

  private void expectParts(String engine, List<Long> parts) {
    long now = time.monotonicMillis();
    parts.forEach(part -> cacheDirectory.engine(engine).expect(part, now));
  }

  /** Returns the number of nodes of the deployment, this one included, or 0 if not known yet. */
  int size() {
    return tables.cluster().isKnown() ? nodes.peers().size() + 1 : 0;
  }

  /** Returns whether this node is the relay that places the requests of all. */
  private boolean isCoordinator() {
    return relays.isServing() && relays.coordinator().isEmpty();
  }

  /** Returns what keeps tenants to their limits. */
  TenantLimiter limiter() {
    return limits.client();
  }

  /** Returns whether this node serves others as a relay. */
  boolean isRelay() {
    return relays.isServing();
  }

  /** Returns this node's copies of tables. */
  List<TableFollower> followers() {
    return tables.all();
  }

  /** Returns what tells where requests are served. */
  PlacementService placements() {
    return placements;
  }

  /** Returns what this node decides by itself. */
  PlacementDecider decider() {
    return decider;
  }

  /** Returns what is known of requests under which back ends ended. */
  Quarantine quarantine() {
    return quarantine;
  }

  /** Returns what learns of the lives of back ends. */
  LifeServices lives() {
    return lives;
  }

  /** Returns what is known of the rates that back ends name. */
  BackendRates rates() {
    return limits.rates();
  }

  /** Returns what tells the relays of this node's requests. */
  NodeReporter reporter() {
    return reporter;
  }
}
