package org.lockdale.gateway.command;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.lockdale.gateway.node.GatewayNode;
import org.lockdale.gateway.node.GatewayProtocols;
import org.lockdale.gateway.node.GatewaySettings;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpRequestMessage;

/**
 * Starts a node without a store on loopback, sends it a few requests, and stops it. What it loads
 * is what a node loads when it starts, so that an archive of these classes makes later starts fast.
 */
final class TrainingRun {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int CALLS = 20;
  private static final String SHORT_GRACE = "300ms";

  private TrainingRun() {}

  static void run(
      Function<GatewaySettings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols>>
          adapters) {
    GatewaySettings settings = load();
    GatewayNode node = GatewayNode.start(settings, adapters.apply(settings));
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpClient client = new HttpClient(group, CALL_TIMEOUT);
    for (int call = 0; call < CALLS; call++) {
      call(client, settings.get(GatewaySettings.READINESS_ADDRESS), HttpRequestMessage.get("/"));
      call(
          client,
          settings.get(GatewaySettings.CALLERS_ADDRESS),
          HttpRequestMessage.json(HttpMethod.POST, "/training", new byte[] {'{', '}'}));
    }
    node.stop().join();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** The settings come from a file, as they do where a node is installed. */
  private static GatewaySettings load() {
    try {
      Path file = Files.createTempFile("lockdale-training", ".yaml");
      List<String> lines = new ArrayList<>();
      flags().forEach((key, value) -> lines.add(key + ": " + value));
      Files.write(file, lines);
      GatewaySettings settings = GatewaySettings.load(file, Map.of());
      Files.delete(file);
      return settings;
    } catch (IOException unwritable) {
      throw new IllegalStateException("can't write a temporary file: " + unwritable, unwritable);
    }
  }

  private static void call(
      HttpClient client, InetSocketAddress address, HttpRequestMessage request) {
    client.exchange(address, request, CALL_TIMEOUT).handle((reply, failure) -> reply).join();
  }

  private static Map<String, String> flags() {
    Map<String, String> flags = new HashMap<>();
    flags.put(GatewaySettings.NODE_ID.key(), "training");
    flags.put(GatewaySettings.NODE_ZONE.key(), "training");
    flags.put(GatewaySettings.STOP_GRACE.key(), SHORT_GRACE);
    try (ServerSocket callers = new ServerSocket(0);
        ServerSocket readiness = new ServerSocket(0);
        ServerSocket store = new ServerSocket(0);
        DatagramSocket peers = new DatagramSocket()) {
      flags.put(GatewaySettings.CALLERS_ADDRESS.key(), loopback(callers.getLocalPort()));
      flags.put(GatewaySettings.READINESS_ADDRESS.key(), loopback(readiness.getLocalPort()));
      flags.put(GatewaySettings.STORE_ADDRESS.key(), loopback(store.getLocalPort()));
      flags.put(GatewaySettings.PEERS_ADDRESS.key(), loopback(peers.getLocalPort()));
    } catch (IOException noPorts) {
      throw new IllegalStateException("there is no free port on loopback: " + noPorts, noPorts);
    }
    return flags;
  }

  private static String loopback(int port) {
    return InetAddress.getLoopbackAddress().getHostAddress() + ":" + port;
  }
}
