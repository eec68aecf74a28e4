package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.SurplusReplies;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.blackboard.GatewayPhase;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.SuspectAttemptHandler;
import org.lockdale.gateway.cluster.SuspectListHandler;
import org.lockdale.gateway.cluster.TableSliceHandler;
import org.lockdale.gateway.quarantine.QuarantineHandler;
import org.lockdale.gateway.request.RequestLimits;
import org.lockdale.gateway.request.RequestPath;
import org.lockdale.gateway.usage.ProcessorTimes;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.gateway.usage.UsageLog;
import org.lockdale.gateway.weights.RolloutController;
import org.lockdale.gateway.weights.RolloutDependencies;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.lockdale.http.EarlyListener;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.lockdale.settings.Setting;
import org.tinylog.Logger;

/** A gateway node. Creates its services and HTTP servers, and stops them as planned or at once. */
public final class GatewayNode implements Closeable {

  /** Time within which load balancers notice that the node reports itself as not ready. */
  private static final long READINESS_NOTICE_MILLIS = 2_500;

  /** Part of the grace period that is reserved for the process to exit. */
  private static final long EXIT_MILLIS = 250;

  /** Time before the end of a stop at which open requests get a final response. */
  private static final long FINAL_RESPONSE_MILLIS = 250;

  /** Part of the grace period after which no request is sent that may run only once. */
  private static final int LAST_SEND_DIVISOR = 2;

  /**
   * Time for which a connection has to be idle to be closed in a stop: its caller may be sending a
   * request.
   */
  private static final Duration MIN_IDLE = Duration.ofSeconds(1);

  private static final long STOP_CHECK_MILLIS = 50;

  /**
   * Tenths of the revocation bound after which a proof is too old; the remainder is for sending.
   */
  private static final int PROOF_AGE_TENTHS = 9;

  private static final int TENTHS = 10;

  /** A request may use one connection to its caller and one to a backend. */
  private static final int FILES_PER_REQUEST = 2;

  /**
   * Interval of the log of processor time and traffic: long enough to cost little, and short enough
   * that a node which runs out of processor time has logged part of it.
   */
  private static final long USAGE_LOG_MILLIS = 10_000;

  private final GatewaySettings settings;
  private final TrafficMeter meter = new TrafficMeter();
  private final UsageLog usage =
      new UsageLog(ProcessorTimes.ofThisProcess()::millisByThread, meter::totals);
  private final GatewayBlackboard blackboard = GatewayBlackboard.empty();
  private final Time time = SystemTime.instance();
  private final SurplusReplies surplusReplies = new SurplusReplies(time);
  private final EventLoopGroup group;
  private final EventLoopGroup controlGroup;
  private final EventLoop controlLoop;
  private final FlowServices flow;
  private final RequestPath path;
  private final HttpServer callers;
  private final HttpServer readiness;
  private final RolloutController rollout;
  private final ClusterServices cluster;
  private final HttpServer peers;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();

  private GatewayNode(
      GatewaySettings settings,
      BiFunction<EventLoopGroup, HttpClient, GatewayProtocols> adapters,
      @Nullable EarlyListener listener,
      long startedAtMillis) {
    this.settings = settings;
    group = eventLoops("requests", settings.get(GatewaySettings.THREADS));
    controlGroup = eventLoops("control", 1);
    controlLoop = controlGroup.next();
    flow = new FlowServices(settings, time);
    Duration connectTimeout = settings.get(GatewaySettings.CONNECT_TIMEOUT);
    HttpClient backendClient =
        new HttpClient(group, connectTimeout, HttpClient.ExchangeListener.NONE, surplusReplies);
    HttpClient controlClient =
        new HttpClient(controlGroup, connectTimeout, meter::called, surplusReplies);
    GatewayProtocols protocols = adapters.apply(controlGroup, controlClient);
    cluster =
        new ClusterServices(
            controlLoop,
            settings,
            blackboard,
            protocols,
            controlClient,
            backendClient,
            meter,
            time,
            startedAtMillis);
    path =
        new RequestPath(
            blackboard,
            protocols.callers(),
            protocols.backends(),
            backendClient,
            limits(),
            cluster::size,
            cluster.requestServices(flow.held()),
            settings.get(GatewaySettings.NODE_ZONE),
            time);
    rollout = rollout(protocols);
    peers =
        server(
            GatewaySettings.PEERS_ADDRESS,
            new PeersHandler(
                path,
                new TableSliceHandler(controlLoop, cluster.followers(), meter),
                new QuarantineHandler(cluster.quarantine(), controlLoop, time),
                new SuspectListHandler(
                    settings.get(GatewaySettings.NODE_ID), cluster.quarantine(), controlLoop),
                new SuspectAttemptHandler(cluster.quarantine(), controlLoop),
                new BackendsHandler(blackboard.backends(), cluster.rates(), time),
                metrics()));
    callers = callers(listener);
    readiness =
        server(
            GatewaySettings.READINESS_ADDRESS,
            new ReadinessHandler(blackboard, callers::hasSpareConnections));
  }

  /**
   * Starts a node.
   *
   * @param settings validated settings
   * @param adapters creates the adapters of the deployment from the control event loops and an HTTP
   *     client that runs on them
   * @throws org.lockdale.http.HttpBindException if an address can't be bound
   */
  public static GatewayNode start(
      GatewaySettings settings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols> adapters) {
    return start(settings, adapters, null, SystemTime.instance().monotonicMillis());
  }

  /**
   * Starts a node that serves callers on a socket that is already listening.
   *
   * @param settings validated settings
   * @param adapters creates the adapters of the deployment from the control event loops and an HTTP
   *     client that runs on them
   * @param listener the socket, bound to the callers' address in the settings, or null to open one
   * @param startedAtMillis monotonic time at which the process started
   * @throws org.lockdale.http.HttpBindException if an address can't be bound
   */
  public static GatewayNode start(
      GatewaySettings settings,
      BiFunction<EventLoopGroup, HttpClient, GatewayProtocols> adapters,
      @Nullable EarlyListener listener,
      long startedAtMillis) {
    GatewayNode node = new GatewayNode(settings, adapters, listener, startedAtMillis);
    node.cluster.start();
    node.rollout.start();
    node.controlLoop.scheduleAtFixedRate(
        node.usage::log, USAGE_LOG_MILLIS, USAGE_LOG_MILLIS, TimeUnit.MILLISECONDS);
    Logger.info("event=started node={}", settings.get(GatewaySettings.NODE_ID));
    return node;
  }

  /** Creates event loops whose threads are named by purpose, for the log of processor time. */
  private static EventLoopGroup eventLoops(String name, int threads) {
    return new MultiThreadIoEventLoopGroup(
        threads, new DefaultThreadFactory(name), NioIoHandler.newFactory());
  }

  private MetricsHandler metrics() {
    return new MetricsHandler(
        new MetricsHandler.Sources(
            path::openRequests,
            path::endedByOutcome,
            ProcessorTimes.ofThisProcess()::millisByThread,
            meter::totals,
            cluster.rates(),
            cluster.incarnations().announcements(),
            cluster.placements().capacities().table(),
            cluster.placements().admissionMetrics(),
            () -> blackboard.configuration().value().version(),
            () -> blackboard.configuration().snapshot().ageMillis(time.monotonicMillis()),
            flow.held(),
            surplusReplies));
  }

  private RequestLimits limits() {
    return new RequestLimits(
        settings.get(GatewaySettings.RETRY_RATIO),
        settings.get(GatewaySettings.RETRY_ALLOWANCE),
        settings.get(GatewaySettings.RETRY_WINDOW),
        settings
            .get(GatewaySettings.KEY_REVOCATION_BOUND)
            .multipliedBy(PROOF_AGE_TENTHS)
            .dividedBy(TENTHS),
        settings.get(GatewaySettings.CALLERS_START_WAIT),
        settings.isOn(GatewaySettings.PROTECT_SHORT_PROMPTS));
  }

  private RolloutController rollout(GatewayProtocols protocols) {
    return new RolloutController(
        controlLoop,
        blackboard.weights(),
        blackboard.backends(),
        new WeightsPolicy(settings.get(GatewaySettings.WEIGHTS_BOUND).toMillis()),
        new RolloutDependencies(
            protocols.engines(),
            cluster::announce,
            cluster.placements()::waitingTokens,
            cluster.incarnations().monitor()::replaced),
        protocols.rolloutLease(),
        settings.get(GatewaySettings.NODE_ID),
        settings.get(GatewaySettings.LEASE_GUARD).toMillis(),
        time,
        cluster::isRelay);
  }

  private HttpServer callers(@Nullable EarlyListener listener) {
    HttpServerSettings bounds =
        HttpServerSettings.forAddress(settings.get(GatewaySettings.CALLERS_ADDRESS))
            .withMaxConnections(settings.get(GatewaySettings.OPEN_FILES) / FILES_PER_REQUEST);
    return listener == null
        ? HttpServer.start(bounds, group, path, flow.ofServers())
        : HttpServer.start(bounds, group, path, flow.ofServers(), listener);
  }

  private HttpServer server(Setting<InetSocketAddress> address, HttpHandler handler) {
    return HttpServer.start(
        HttpServerSettings.forAddress(settings.get(address)), group, handler, flow.ofServers());
  }

  /**
   * Starts a planned stop. The node reports itself as not ready at once, rejects new requests once
   * load balancers have had time to notice, closes connections as they become idle, and stops once
   * no request is open and all replies are written, or the grace period is nearly over.
   *
   * @return completes when the node has stopped
   */
  public CompletableFuture<Void> stop() {
    Logger.info("event=stopping open-requests={}", path.openRequests());
    blackboard.phase().publish(GatewayPhase.STOPPING, time.monotonicMillis());
    rollout.close();
    cluster.retire();
    checkStopped(time.monotonicMillis());
    return stopped;
  }

  private void checkStopped(long startedAtMillis) {
    long elapsed = time.monotonicMillis() - startedAtMillis;
    long grace = settings.get(GatewaySettings.STOP_GRACE).toMillis() - EXIT_MILLIS;
    callers.closeIdleConnections(MIN_IDLE);
    boolean noticed = elapsed >= READINESS_NOTICE_MILLIS;
    if (noticed) {
      // Requests that arrive from now on might not complete within the grace period.
      boolean late = elapsed >= grace / LAST_SEND_DIVISOR;
      publishPhase(late ? GatewayPhase.FINISHING : GatewayPhase.DRAINING);
    }
    if (elapsed >= grace - FINAL_RESPONSE_MILLIS) {
      path.endOpenRequests();
    }
    if (noticed && isIdle() || elapsed >= grace) {
      endStop();
      return;
    }
    controlLoop.schedule(
        () -> checkStopped(startedAtMillis), STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void publishPhase(GatewayPhase phase) {
    if (blackboard.phase().value() != phase) {
      blackboard.phase().publish(phase, time.monotonicMillis());
    }
  }

  /** Returns whether no request is open and no reply waits to be written to its connection. */
  private boolean isIdle() {
    return path.openRequests() == 0 && busyConnections() == 0;
  }

  private int busyConnections() {
    return callers.busyConnectionCount() + peers.busyConnectionCount();
  }

  private void endStop() {
    usage.log();
    Logger.info(
        "event=stopped open-requests={} busy-connections={}",
        path.openRequests(),
        busyConnections());
    cluster.close();
    readiness.close();
    peers.close();
    callers.stopAccepting();
    stopped.complete(null);
  }

  /**
   * Stops at once, as if the process were killed: ends the event loops, which closes all ports and
   * connections. Nothing is announced, and open requests are cut off. Must not be called on an
   * event loop of the node.
   */
  @Override
  public void close() {
    Future<?> controlEnded = controlGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    controlEnded.awaitUninterruptibly();
    stopped.complete(null);
    Logger.info("event=closed node={}", settings.get(GatewaySettings.NODE_ID));
  }

  /**
   * Returns whether a planned stop has reached its last phase, in which new requests are rejected.
   */
  public boolean isDraining() {
    return blackboard.phase().value().refusesRequests();
  }

  /**
   * Returns whether this node is a relay node, which reads the store and places requests for
   * others.
   */
  public boolean isRelay() {
    return cluster.isRelay();
  }

  /** Logs a reload request. No setting can change at run time, so nothing is read again. */
  public void reload() {
    Logger.info("event=reload-asked node={}", settings.get(GatewaySettings.NODE_ID));
  }

  /** Returns what other nodes need to know of a node with the given settings. */
  static PeerNode describe(GatewaySettings settings) {
    return new PeerNode(
        settings.get(GatewaySettings.NODE_ID),
        settings.get(GatewaySettings.PEERS_ADDRESS),
        settings.get(GatewaySettings.NODE_LINK));
  }
}
