package org.lockdale.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lockdale.emulator.engine.BlockHolderCounts;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.engine.EngineSettings;
import org.lockdale.emulator.history.HistoryRecorder;
import org.lockdale.emulator.platform.MachineEntry;
import org.lockdale.emulator.platform.PlatformServer;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.router.blackboard.NodePhase;
import org.lockdale.router.node.RouterNode;
import org.lockdale.router.operator.OperatorApi;
import org.lockdale.router.settings.NodeSettings;

/** A deployment in one process on loopback: nodes with stand-in platform and engines. */
final class LocalCluster implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final long START_TIMEOUT_MILLIS = 30_000;
  private static final long POLL_MILLIS = 20;
  private static final String SHARED_KEY = "demonstration-key-only";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
  private final EventLoopGroup engineGroup =
      new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);
  private final HistoryRecorder history = new HistoryRecorder();
  private final BlockHolderCounts blockHolders = new BlockHolderCounts();
  private final PlatformServer platform;
  private final List<EngineServer> engines = new ArrayList<>();
  private final List<RouterNode> nodes = new ArrayList<>();
  private final List<Map<String, String>> nodeFlags = new ArrayList<>();

  private final Map<String, String> extraFlags;

  private LocalCluster(long seed, Map<String, String> extraFlags) {
    this.extraFlags = Map.copyOf(extraFlags);
    platform = PlatformServer.start(Addresses.loopback(0), group, seed);
  }

  /**
   * Starts a deployment and waits until all its nodes serve.
   *
   * @throws OperatorException if they do not serve within 30 s
   */
  static LocalCluster start(Deployment deployment, long seed) throws InterruptedException {
    return start(deployment, seed, Map.of());
  }

  /** As {@link #start(Deployment, long)}, with additional settings for all nodes. */
  static LocalCluster start(Deployment deployment, long seed, Map<String, String> extraFlags)
      throws InterruptedException {
    LocalCluster cluster = new LocalCluster(seed, extraFlags);
    deployment.engines().forEach(cluster::startEngine);
    deployment.zones().forEach(cluster::startNode);
    cluster.applyConfiguration(deployment);
    cluster.await(cluster::allNodesServe);
    return cluster;
  }

  private void startEngine(EngineSettings settings) {
    EngineServer engine =
        EngineServer.start(
            settings, Addresses.loopback(0), engineGroup, history::add, blockHolders);
    engines.add(engine);
    platform
        .machines()
        .put(
            new MachineEntry(
                settings.id(),
                "engine",
                settings.zone(),
                engine.address().getAddress().getHostAddress(),
                engine.address().getPort(),
                "live",
                settings.labels()));
  }

  private void startNode(String zone) {
    Map<String, String> flags = new HashMap<>();
    flags.put("node.id", zone + "-node");
    flags.put("node.zone", zone);
    flags.put("node.threads", "2");
    flags.put("callers.port", "0");
    flags.put("operators.port", "0");
    flags.put("peers.port", "0");
    flags.put("peers.shared-key", SHARED_KEY);
    flags.put("platform.address", Addresses.format(platform.address()));
    if (!nodes.isEmpty()) {
      flags.put("peers.seeds", Addresses.format(nodes.get(0).peerAddress()));
    }
    flags.putAll(extraFlags);
    nodeFlags.add(flags);
    nodes.add(RouterNode.start(NodeSettings.load(null, flags)));
  }

  /** Closes a node abruptly, without a planned stop, and keeps its ports for a restart. */
  void killNode(int index) {
    RouterNode node = nodes.get(index);
    Map<String, String> flags = nodeFlags.get(index);
    flags.put("callers.port", String.valueOf(node.callerAddress().getPort()));
    flags.put("operators.port", String.valueOf(node.operatorAddress().getPort()));
    flags.put("peers.port", String.valueOf(node.peerAddress().getPort()));
    flags.put("peers.seeds", Addresses.format(nodes.get((index + 1) % nodes.size()).peerAddress()));
    node.close();
  }

  /** Restarts a killed node with the same id and addresses. */
  void restartNode(int index) {
    nodes.set(index, RouterNode.start(NodeSettings.load(null, nodeFlags.get(index))));
  }

  private void applyConfiguration(Deployment deployment) {
    ObjectNode edit = MAPPER.createObjectNode().put("baseVersion", 0).put("author", "demo");
    ArrayNode resources = edit.putArray("resources");
    deployment.configuration().forEach(resources::add);
    HttpRequestMessage request =
        HttpRequestMessage.json(
                HttpMethod.POST,
                OperatorApi.CONFIGURATION,
                edit.toString().getBytes(StandardCharsets.UTF_8))
            .with("authorization", "Bearer " + extraFlags.getOrDefault("operators.token", "none"));
    HttpReply reply = client.exchange(nodes.get(0).operatorAddress(), request, CALL_TIMEOUT).join();
    if (reply.status() != 200) {
      throw new OperatorException("The configuration was rejected: " + reply.bodyText());
    }
  }

  private boolean allNodesServe() {
    return nodes.stream()
        .allMatch(
            node ->
                node.blackboard().phase().value() == NodePhase.SERVING
                    && node.blackboard().engines().value().engines().stream()
                        .allMatch(engine -> !engine.incarnation().isEmpty())
                    && node.blackboard().engines().value().engines().size() == engines.size());
  }

  private void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new OperatorException("The deployment did not start within 30 s.");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  List<InetSocketAddress> callerAddresses() {
    return nodes.stream().map(RouterNode::callerAddress).toList();
  }

  List<RouterNode> nodes() {
    return nodes;
  }

  PlatformServer platform() {
    return platform;
  }

  HistoryRecorder history() {
    return history;
  }

  EventLoopGroup eventLoops() {
    return group;
  }

  List<EngineServer> engines() {
    return engines;
  }

  @Override
  public void close() {
    nodes.forEach(RouterNode::close);
    engines.forEach(EngineServer::close);
    platform.close();
    engineGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
