package org.lockdale.gateway.command;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.node.GatewayNode;
import org.lockdale.gateway.node.GatewayProtocols;
import org.lockdale.gateway.node.GatewaySettings;
import org.lockdale.gateway.quarantine.RequestFingerprint;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.lockdale.http.LoopbackPorts;

/**
 * Starts two nodes on loopback against a stand-in for their store and backends, sends them requests
 * of each kind, and stops them. This loads the classes that a node in service loads. With a class
 * data archive of them, a starting node need not read and verify them.
 */
final class TrainingRun {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int SUCCESS = 200;

  /** One address for the stand-in, and three for each of the two nodes. */
  private static final int ADDRESSES = 7;

  /** Allows half a minute in total, enough for a machine that is busy with other work. */
  private static final int MAX_READINESS_CALLS = 600;

  private static final long READINESS_PAUSE_MILLIS = 50;

  /** Rounds of requests; the pauses between them give periodic tasks of the nodes time to run. */
  private static final int ROUNDS = 20;

  private static final long ROUND_PAUSE_MILLIS = 100;

  private final Function<GatewaySettings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols>>
      adapters;
  private final TrainingEnvironment environment;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group, CALL_TIMEOUT);

  private TrainingRun(
      Function<GatewaySettings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols>> adapters,
      TrainingEnvironment environment) {
    this.adapters = adapters;
    this.environment = environment;
  }

  /**
   * Performs a training run.
   *
   * @param adapters creates the adapters of the deployment from the settings
   * @param environment simulates the rest of the deployment
   * @throws IllegalStateException if a node does not become ready, or if no request of some path
   *     got a successful response
   */
  static void run(
      Function<GatewaySettings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols>> adapters,
      TrainingEnvironment environment)
      throws InterruptedException {
    new TrainingRun(adapters, environment).run();
  }

  private void run() throws InterruptedException {
    Queue<InetSocketAddress> free = new ArrayDeque<>(LoopbackPorts.free(ADDRESSES));
    InetSocketAddress standIn = free.remove();
    HttpServer server =
        HttpServer.start(
            HttpServerSettings.forAddress(standIn), group, environment.standIn(standIn));
    List<GatewaySettings> settings =
        List.of(settings("one", standIn, free), settings("two", standIn, free));
    List<GatewayNode> nodes = new ArrayList<>();
    for (GatewaySettings each : settings) {
      nodes.add(GatewayNode.start(each, adapters.apply(each)));
    }
    for (GatewaySettings each : settings) {
      awaitReady(each.get(GatewaySettings.READINESS_ADDRESS));
    }
    Set<String> unserved = new HashSet<>();
    environment.requests().forEach(request -> unserved.add(request.path()));
    for (int round = 0; round < ROUNDS; round++) {
      for (GatewaySettings each : settings) {
        sendAll(each.get(GatewaySettings.CALLERS_ADDRESS), unserved);
      }
      TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MILLIS);
    }
    RequestFingerprint.prepare();
    nodes.forEach(node -> node.stop().join());
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    if (!unserved.isEmpty()) {
      throw new IllegalStateException("no request of the training run succeeded at " + unserved);
    }
  }

  private void sendAll(InetSocketAddress callers, Set<String> unserved) {
    for (HttpRequestMessage request : environment.requests()) {
      HttpReply reply = call(callers, request);
      if (reply != null && reply.status() == SUCCESS) {
        unserved.remove(request.path());
      }
    }
  }

  private void awaitReady(InetSocketAddress address) throws InterruptedException {
    for (int call = 0; call < MAX_READINESS_CALLS; call++) {
      HttpReply reply = call(address, HttpRequestMessage.get("/"));
      if (reply != null && reply.status() == SUCCESS) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(READINESS_PAUSE_MILLIS);
    }
    throw new IllegalStateException("a node of the training run did not become ready");
  }

  private @Nullable HttpReply call(InetSocketAddress address, HttpRequestMessage request) {
    return client.exchange(address, request, CALL_TIMEOUT).exceptionally(failure -> null).join();
  }

  /** Loads the settings of a node from a temporary file, as an installed node does. */
  private static GatewaySettings settings(
      String node, InetSocketAddress store, Queue<InetSocketAddress> free) {
    try {
      Path file = Files.createTempFile("lockdale-training", ".yaml");
      List<String> lines = new ArrayList<>();
      values(node, store, free).forEach((key, value) -> lines.add(key + ": " + value));
      Files.write(file, lines);
      GatewaySettings settings = GatewaySettings.load(file, Map.of());
      Files.delete(file);
      return settings;
    } catch (IOException unwritable) {
      throw new IllegalStateException("can't write a temporary file: " + unwritable, unwritable);
    }
  }

  private static Map<String, String> values(
      String node, InetSocketAddress store, Queue<InetSocketAddress> free) {
    Map<String, String> values = new HashMap<>();
    values.put(GatewaySettings.NODE_ID.key(), node);
    values.put(GatewaySettings.NODE_ZONE.key(), "training");
    values.put(GatewaySettings.STOP_GRACE.key(), "300ms");
    // With a short bound, engines are moved to new weights within the training run.
    values.put(GatewaySettings.WEIGHTS_BOUND.key(), "1s");
    values.put(GatewaySettings.CALLERS_ADDRESS.key(), text(free.remove()));
    values.put(GatewaySettings.READINESS_ADDRESS.key(), text(free.remove()));
    values.put(GatewaySettings.PEERS_ADDRESS.key(), text(free.remove()));
    values.put(GatewaySettings.STORE_ADDRESS.key(), text(store));
    return values;
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
