package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cache.CacheDirectory;
import org.lockdale.gateway.cluster.AttemptOwnerClient;
import org.lockdale.gateway.cluster.DatagramDispatcher;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.NodeRegistry;
import org.lockdale.gateway.cluster.PeerBroadcaster;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.PlacementResponder;
import org.lockdale.gateway.cluster.RelayController;
import org.lockdale.gateway.cluster.ReportReceiver;
import org.lockdale.gateway.cluster.TableSliceClient;
import org.lockdale.gateway.flow.HeldBytes;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.quarantine.QuarantineContext;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.request.PeerSelector;
import org.lockdale.gateway.request.RequestServices;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.gateway.weights.EngineMove;
import org.lockdale.gateway.weights.RolloutProgress;
import org.lockdale.http.HttpClient;

/** Runs the services by which a node cooperates with others: tables, relays, placement, limits. */
final class ClusterServices {

  private static final long MAINTENANCE_MILLIS = 500;

  private final EventLoop eventLoop;
  private final GatewayBlackboard blackboard;
  private final Time time;
  private final CacheDirectory cacheDirectory;
  private final NodeRegistry nodes;
  private final DatagramExchange datagrams;
  private final TableFollowers tables;
  private final RelayController relays;
  private final PlacementServices placements;
  private final TargetVersionRecorder versionRecorder;
  private final OperatorController operators;
  private final BackendController backends;
  private final LimitServices limits;
  private final QuarantineServices quarantine;
  private final IncarnationServices incarnations;
  private final SuspensionLog suspensions;
  private final ReachabilityServices reachability;
  private final ResumeServices resumes;

  /**
   * Creates the services; {@link #start} starts them.
   *
   * @param eventLoop event loop that runs the services
   * @param settings settings of the node
   * @param blackboard shared state of the node
   * @param protocols adapters of the deployment
   * @param controlClient HTTP client for calls to other nodes
   * @param backendClient HTTP client for backends; closes its idle connections to removed backends
   * @param meter counts the bytes exchanged with other nodes
   * @param time clock
   * @param startMillis monotonic time at which the process started
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
      long startMillis) {
    this.eventLoop = eventLoop;
    this.blackboard = blackboard;
    this.time = time;
    suspensions = new SuspensionLog(time);
    reachability = ReachabilityServices.of(blackboard, controlClient, backendClient, time);
    cacheDirectory = cacheDirectory(protocols);
    PeerNode self = GatewayNode.describe(settings);
    long incarnation = ThreadLocalRandom.current().nextLong();
    nodes = new NodeRegistry(eventLoop, protocols.clusterTable(), self, time);
    datagrams = new DatagramExchange(self.id(), self.address(), eventLoop, meter);
    StoreClock clock = new StoreClock();
    resumes = resumes(settings, protocols, clock);
    limits =
        new LimitServices(
            eventLoop,
            settings,
            blackboard,
            cluster(self.id(), incarnation, protocols, clock),
            time,
            startMillis);
    TableFollower.Sources sources =
        new TableFollower.Sources(protocols.feed(), new TableSliceClient(controlClient), clock);
    versionRecorder =
        new TargetVersionRecorder(
            blackboard.weights(),
            protocols.clusterTable(),
            clock,
            this::isCoordinator,
            eventLoop,
            time);
    operators = operators(settings, protocols, startMillis);
    backends = backends(settings, protocols, backendClient);
    tables = tables(sources, settings, protocols);
    relays = relays(settings, clock, incarnation);
    placements =
        PlacementServices.of(
            eventLoop, settings, blackboard, datagrams, relays, limits, cacheDirectory, time);
    quarantine =
        QuarantineServices.of(
            eventLoop,
            settings,
            blackboard,
            quarantineContext(protocols, controlClient),
            controlClient,
            nodes::peers);
    incarnations =
        IncarnationServices.of(
            eventLoop,
            protocols.engines(),
            blackboard,
            new PeerBroadcaster(nodes, datagrams),
            time);
  }

  private OperatorController operators(
      GatewaySettings settings, GatewayProtocols protocols, long startMillis) {
    return new OperatorController(
        blackboard,
        protocols.records(),
        time,
        startMillis,
        settings.get(GatewaySettings.WEIGHTS_BOUND),
        settings.get(GatewaySettings.NODE_CATCH_UP),
        // Called only after start(), when all fields are set.
        () -> backends.onConfiguration());
  }

  private BackendController backends(
      GatewaySettings settings, GatewayProtocols protocols, HttpClient backendClient) {
    return new BackendController(
        eventLoop,
        blackboard,
        protocols.records(),
        backendClient,
        TableFollowers.outageThreshold(settings),
        // Called only after start(), when all fields are set.
        after -> incarnations.draining().markDraining(after),
        resumes.history(),
        time);
  }

  private ResumeServices resumes(
      GatewaySettings settings, GatewayProtocols protocols, StoreClock clock) {
    return ResumeServices.of(
        new ResumeServices.Context(
            eventLoop,
            blackboard,
            nodes,
            this::size,
            datagrams,
            protocols.origins(),
            clock,
            this::isCoordinator,
            TableFollowers.maxBackendsAge(settings).toMillis(),
            // Called only after start(), when all fields are set.
            () -> backends.onVersionsRecorded(),
            time));
  }

  /** Refers to the relays lazily, since the limits are created before them. */
  private LimitServices.Cluster cluster(
      String selfId, long incarnation, GatewayProtocols protocols, StoreClock clock) {
    return new LimitServices.Cluster(
        selfId,
        incarnation,
        datagrams,
        () -> relays.limitRelays(),
        relay -> relays.markUnresponsiveById(relay),
        () -> relays.coordinator(),
        this::isCoordinator,
        () -> relays.relays(),
        nodes::peers,
        this::size,
        () -> relays.isServing(),
        protocols.clusterTable(),
        clock);
  }

  private QuarantineContext quarantineContext(GatewayProtocols protocols, HttpClient client) {
    PeerBroadcaster broadcaster = new PeerBroadcaster(nodes, datagrams);
    return new QuarantineContext(
        eventLoop,
        reachability.crashProber()::probe,
        () -> blackboard.backends().snapshot(),
        protocols.suspects(),
        nodes.self().id(),
        broadcaster::broadcastSuspects,
        broadcaster::broadcastParts,
        new AttemptOwnerClient(client, nodes::peers),
        this::isCoordinator,
        time);
  }

  private CacheDirectory cacheDirectory(GatewayProtocols protocols) {
    return new CacheDirectory(
        eventLoop,
        protocols.cacheEvents(),
        () -> blackboard.backends().value(),
        () -> blackboard.configuration().value().cacheStores());
  }

  private RelayController relays(GatewaySettings settings, StoreClock clock, long incarnation) {
    return new RelayController(
        eventLoop,
        nodes,
        datagrams::send,
        tables.all(),
        clock,
        settings.get(GatewaySettings.STORE_WAIT).plus(TableFollowers.PROOF_MARGIN),
        incarnation,
        settings.isOn(GatewaySettings.LIMITS_KEPT),
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
            protocols.origins(),
            resumes,
            nodes,
            versionRecorder,
            operators,
            // Called only after start(), when all fields are set.
            parts -> quarantine.quarantine().parts().updateFromTable(parts),
            trials -> quarantine.quarantine().updateTrials(trials),
            (suspects, attempts) -> quarantine.quarantine().updateFromTable(suspects, attempts));
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
            () -> blackboard.backends().value(),
            placements.loads(),
            time,
            this::onMove,
            this::expectParts);
    PlacementResponder responder =
        new PlacementResponder(datagrams, placements.decider(), placements.loads(), time);
    datagrams.start(
        new DatagramDispatcher(
            relays,
            reports,
            responder,
            limits.responder(),
            limits.client(),
            limits.rateExchange(),
            placements.client(),
            placements.ticketExchange(datagrams, responder, time),
            resumes.exchange(),
            placements.capacities().exchange(),
            quarantine.quarantine()::receive,
            quarantine.quarantine().parts()::receive,
            incarnations.monitor()::receive,
            incarnations.announcements()::processBroadcast));
    quarantine.start();
    nodes.start();
    tables.all().forEach(TableFollower::start);
    relays.start();
    limits.start();
    placements.reporter().start();
    placements.capacities().start();
    cacheDirectory.start();
    resumes.start(eventLoop);
    eventLoop.scheduleAtFixedRate(
        this::maintain, MAINTENANCE_MILLIS, MAINTENANCE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void maintain() {
    suspensions.tick();
    reachability.prober().tick();
    nodes.refresh();
    versionRecorder.tick();
    placements.loads().expire();
    incarnations.draining().tick(blackboard.backends().value());
    Set<String> engines = blackboard.backends().value().ids();
    placements.retain(engines);
    limits.maintain(engines);
  }

  /** Stops serving as a relay, ahead of a planned stop. */
  void retire() {
    relays.retire();
  }

  /** Stops following the store. */
  void close() {
    tables.all().forEach(TableFollower::close);
  }

  /** Applies a change of an engine's state in a rollout and reports it to the relays. */
  void announce(EngineMove move) {
    onMove(move);
    placements.reporter().noteMove(move);
  }

  private void onMove(EngineMove move) {
    long now = time.monotonicMillis();
    RolloutProgress progress = blackboard.rollout().value().with(move, now);
    blackboard.rollout().publish(progress, now);
    blackboard.backends().value().all().forEach(progress::applyTo);
  }

  private void expectParts(String engine, List<Long> parts) {
    long now = time.monotonicMillis();
    parts.forEach(part -> cacheDirectory.engine(engine).expect(part, now));
  }

  /** Returns the number of nodes in the deployment including this one, or 0 if not yet known. */
  int size() {
    return tables.cluster().isKnown() ? nodes.peers().size() + 1 : 0;
  }

  /** Returns whether this node is the relay that places the requests of all nodes. */
  private boolean isCoordinator() {
    return relays.isServing() && relays.coordinator().isEmpty();
  }

  /** Returns whether this node serves as a relay. */
  boolean isRelay() {
    return relays.isServing();
  }

  /** Returns the followers of all tables. */
  List<TableFollower> followers() {
    return tables.all();
  }

  /** Returns the services that requests use, with the count of what the node holds. */
  RequestServices requestServices(HeldBytes held) {
    return new RequestServices(
        limits.client(),
        placements.service(),
        placements.decider(),
        quarantine.quarantine(),
        incarnations.monitor(),
        limits.rates(),
        incarnations.announcements(),
        reachability.pools(),
        new PeerSelector(nodes::peers, time),
        tables.peerConfigurations(eventLoop, blackboard.configuration()),
        resumes.origins(),
        placements.reporter(),
        placements.capacities().engines(),
        placements.admission() != null,
        held);
  }

  /** Returns the quarantine of requests that crash backends. */
  Quarantine quarantine() {
    return quarantine.quarantine();
  }

  /** Returns the services that track the incarnations of backends. */
  IncarnationServices incarnations() {
    return incarnations;
  }

  /** Returns the services that place requests. */
  PlacementServices placements() {
    return placements;
  }

  /** Returns the rates that backends advertise. */
  BackendRates rates() {
    return limits.rates();
  }
}
