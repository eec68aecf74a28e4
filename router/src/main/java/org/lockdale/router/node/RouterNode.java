package org.lockdale.router.node;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.claim.RunOnceClaims;
import org.lockdale.coordination.configuration.ConfigurationHistory;
import org.lockdale.coordination.table.TableService;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.blackboard.NodePhase;
import org.lockdale.router.controller.CoordinationController;
import org.lockdale.router.controller.EngineController;
import org.lockdale.router.controller.EngineControllerSettings;
import org.lockdale.router.controller.PeerIdentity;
import org.lockdale.router.engine.EngineClient;
import org.lockdale.router.limit.CapacityQueue;
import org.lockdale.router.limit.TenantUsageTable;
import org.lockdale.router.operator.ConfigurationEditor;
import org.lockdale.router.operator.Explainer;
import org.lockdale.router.operator.OperatorApi;
import org.lockdale.router.operator.StatusReporter;
import org.lockdale.router.placement.PrefixIndex;
import org.lockdale.router.platform.HttpTableService;
import org.lockdale.router.platform.MachineListClient;
import org.lockdale.router.request.RequestPath;
import org.lockdale.router.request.RequestPathBuilder;
import org.lockdale.router.request.RequestRecorder;
import org.lockdale.router.settings.NodeSettings;
import org.tinylog.Logger;

/**
 * One node, assembled from its settings. It is shut down gracefully by {@link #stop} or at once by
 * {@link #close}.
 */
public final class RouterNode implements Closeable {

  /** Name prefix of the event loop threads that serve requests. */
  public static final String REQUEST_THREADS = "node-requests";

  /** Name prefix of the event loop thread for all other work, such as coordination and status. */
  public static final String CONTROL_THREADS = "node-control";

  private static final long PHASE_CHECK_MILLIS = 50;

  private final NodeSettings settings;
  private final Blackboard blackboard = Blackboard.empty();
  private final Time time = SystemTime.instance();
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EventLoopGroup eventLoops;
  private final EventLoopGroup controlLoop;
  private final CapacityQueue queue;
  private final RequestRecorder recorder = new RequestRecorder(metrics);
  private final CoordinationController coordination;
  private final EngineController engineController;
  private final RequestPath requestPath;
  private final HttpServer operatorServer;
  private final HttpServer callerServer;

  private RouterNode(NodeSettings settings) {
    this.settings = settings;
    eventLoops =
        new MultiThreadIoEventLoopGroup(
            settings.get(NodeSettings.THREADS),
            new DefaultThreadFactory(REQUEST_THREADS),
            NioIoHandler.newFactory());
    controlLoop =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory(CONTROL_THREADS), NioIoHandler.newFactory());
    queue = new CapacityQueue(settings.get(NodeSettings.QUEUE_MAX_LENGTH));
    PrefixIndex prefixes =
        new PrefixIndex(
            settings.get(NodeSettings.PREFIX_INDEX_CAPACITY),
            settings.get(NodeSettings.PREFIX_ENTRY_LIFETIME).toMillis());
    HttpClient controlClient = new HttpClient(controlLoop);
    HttpClient requestClient = new HttpClient(eventLoops);
    TableService tables =
        new HttpTableService(
            requestClient,
            settings.get(NodeSettings.PLATFORM_ADDRESS),
            settings.get(NodeSettings.PLATFORM_TIMEOUT));
    requestPath = buildRequestPath(prefixes, requestClient, tables);
    DeferredOperatorHandler operators = new DeferredOperatorHandler();
    operatorServer =
        HttpServer.start(
            HttpServerSettings.forAddress(addressOf(settings.get(NodeSettings.OPERATORS_PORT))),
            controlLoop,
            operators);
    coordination =
        new CoordinationController(
            controlLoop.next(),
            blackboard,
            new ConfigurationHistory(tables),
            time,
            peerIdentity(operatorServer.address().getPort()),
            settings.get(NodeSettings.PLATFORM_POLL_INTERVAL));
    engineController = startEngineController(controlClient);
    operators.setDelegate(operatorApi(prefixes, controlClient));
    callerServer =
        HttpServer.start(
            callerServerSettings(), eventLoops, new CallerApi(blackboard, requestPath));
    controlLoop
        .next()
        .scheduleAtFixedRate(this::advancePhase, 0, PHASE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    registerGauges();
  }

  /** Starts a node. It is ready once it has a configuration and an engine is listed. */
  public static RouterNode start(NodeSettings settings) {
    RouterNode node = new RouterNode(settings);
    Logger.info(
        "event=node-started node={} zone={} callers={} operators={} peers={}",
        settings.get(NodeSettings.NODE_ID),
        settings.get(NodeSettings.NODE_ZONE),
        node.callerAddress(),
        node.operatorAddress(),
        node.peerAddress());
    return node;
  }

  private InetSocketAddress addressOf(int port) {
    return new InetSocketAddress(settings.get(NodeSettings.BIND_ADDRESS), port);
  }

  private RequestPath buildRequestPath(
      PrefixIndex prefixes, HttpClient client, TableService tables) {
    return new RequestPathBuilder(
            blackboard,
            settings.get(NodeSettings.NODE_ID),
            settings.get(NodeSettings.NODE_ZONE),
            time)
        .engines(new EngineClient(client), eventLoops)
        .claims(new RunOnceClaims(tables, time))
        .prefixes(prefixes)
        .limits(queue, new TenantUsageTable())
        .recorder(recorder)
        .timeouts(
            settings.get(NodeSettings.REQUEST_DEFAULT_DEADLINE),
            settings.get(NodeSettings.ENGINE_TOKEN_TIMEOUT))
        .maxRetries(settings.get(NodeSettings.ENGINE_MAX_RETRIES))
        .build();
  }

  private PeerIdentity peerIdentity(int operatorPort) {
    return new PeerIdentity(
        settings.get(NodeSettings.NODE_ID),
        settings.get(NodeSettings.NODE_ZONE),
        addressOf(settings.get(NodeSettings.PEERS_PORT)),
        operatorPort,
        settings.get(NodeSettings.PEERS_SEEDS),
        settings.get(NodeSettings.PEERS_SHARED_KEY));
  }

  private EngineController startEngineController(HttpClient client) {
    EngineControllerSettings intervals =
        new EngineControllerSettings(
            settings.get(NodeSettings.NODE_ZONE),
            settings.get(NodeSettings.ENGINE_REPORT_INTERVAL),
            settings.get(NodeSettings.ENGINE_REMOTE_REPORT_INTERVAL),
            settings.get(NodeSettings.PLATFORM_POLL_INTERVAL));
    return new EngineController(
        controlLoop.next(),
        blackboard,
        new EngineClient(client),
        new MachineListClient(client, settings.get(NodeSettings.PLATFORM_TIMEOUT)),
        settings.get(NodeSettings.PLATFORM_ADDRESS),
        intervals,
        time,
        queue::drain);
  }

  private OperatorApi operatorApi(PrefixIndex prefixes, HttpClient client) {
    String zone = settings.get(NodeSettings.NODE_ZONE);
    StatusReporter status =
        new StatusReporter(
            blackboard,
            settings.get(NodeSettings.NODE_ID),
            zone,
            time,
            client,
            new StatusReporter.RequestCounts(
                recorder::inFlight, queue::length, requestPath::pendingClaimEnds));
    return new OperatorApi(
        blackboard,
        metrics,
        status,
        new ConfigurationEditor(blackboard, time, coordination::propose),
        new Explainer(blackboard, prefixes, zone, time),
        engineController,
        settings.get(NodeSettings.OPERATORS_TOKEN));
  }

  private HttpServerSettings callerServerSettings() {
    return new HttpServerSettings(
        addressOf(settings.get(NodeSettings.CALLERS_PORT)),
        settings.get(NodeSettings.REQUEST_MAX_HEADER_BYTES),
        settings.get(NodeSettings.REQUEST_MAX_BODY_BYTES),
        settings.get(NodeSettings.REQUEST_BODY_TIMEOUT),
        Duration.ofMinutes(2),
        settings.get(NodeSettings.REQUEST_MAX_CONNECTIONS));
  }

  private void registerGauges() {
    metrics.gauge("lockdale_queue_length", queue, CapacityQueue::length);
    metrics.gauge(
        "lockdale_configuration_version",
        blackboard,
        board -> board.configuration().value().version());
    metrics.gauge(
        "lockdale_peer_bytes_sent", coordination, controller -> controller.transport().bytesSent());
    metrics.gauge(
        "lockdale_peer_bytes_received",
        coordination,
        controller -> controller.transport().bytesReceived());
  }

  private void advancePhase() {
    boolean isReady =
        blackboard.policies().value().version() > 0
            && !blackboard.engines().value().engines().isEmpty();
    if (blackboard.phase().value() == NodePhase.STARTING && isReady) {
      blackboard.phase().publish(NodePhase.SERVING, time.monotonicMillis());
      Logger.info("event=serving node={}", settings.get(NodeSettings.NODE_ID));
    }
  }

  /** Returns the address for callers. */
  public InetSocketAddress callerAddress() {
    return callerServer.address();
  }

  /** Returns the address for operators. */
  public InetSocketAddress operatorAddress() {
    return operatorServer.address();
  }

  /** Returns the address for other nodes. */
  public InetSocketAddress peerAddress() {
    return coordination.peerAddress();
  }

  /** Returns the blackboard of the node. */
  public Blackboard blackboard() {
    return blackboard;
  }

  /** Returns the number of open connections of callers. */
  public int callerConnections() {
    return callerServer.connectionCount();
  }

  /** Returns the number of requests that have not ended. */
  public int requestsInFlight() {
    return recorder.inFlight();
  }

  /**
   * Shuts the node down gracefully: notifies the other nodes, rejects new requests and lets open
   * ones finish until the drain timeout.
   *
   * @return completes when the node is closed
   */
  public CompletableFuture<Void> stop() {
    Logger.info(
        "event=stopping node={} in_flight={}",
        settings.get(NodeSettings.NODE_ID),
        recorder.inFlight());
    blackboard.phase().publish(NodePhase.STOPPING, time.monotonicMillis());
    coordination.announceLeave();
    long drainDeadlineMillis =
        time.monotonicMillis() + settings.get(NodeSettings.SHUTDOWN_DRAIN_TIMEOUT).toMillis();
    CompletableFuture<Void> drained = new CompletableFuture<>();
    waitUntilDrained(drainDeadlineMillis, drained);
    return drained.thenRunAsync(this::close);
  }

  private void waitUntilDrained(long drainDeadlineMillis, CompletableFuture<Void> drained) {
    boolean idle = recorder.inFlight() == 0 && requestPath.pendingClaimEnds() == 0;
    if (idle || time.monotonicMillis() >= drainDeadlineMillis) {
      drained.complete(null);
      return;
    }
    controlLoop.schedule(
        () -> waitUntilDrained(drainDeadlineMillis, drained),
        PHASE_CHECK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    engineController.close();
    coordination.close();
    callerServer.close();
    operatorServer.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    controlLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    Logger.info("event=node-closed node={}", settings.get(NodeSettings.NODE_ID));
  }
}
