package org.lockdale.soak.run;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.lockdale.soak.standin.Addresses;
import org.testng.annotations.Test;

/**
 * Checks that a node handles signals as soon as it listens. The test guards against a node that
 * listens for callers before its SIGHUP handler is installed: a SIGHUP about a second after the
 * start on a busy machine then ends the process without a log line.
 */
public final class NodeSignalsTest {

  private static final long WAIT_NANOS = 60_000_000_000L;

  @Test
  public void aHangupWhileTheNodeStartsDoesNotEndIt() throws Exception {
    Path root = Path.of("..").toAbsolutePath().normalize();
    Path directory = Files.createDirectories(Path.of("target", "signals").toAbsolutePath());
    Addresses addresses = Addresses.claim();
    InetSocketAddress callers = addresses.realAddress(1, 1, Addresses.SERVICE_PORT);
    GatewayProgram program = GatewayProgram.read(root);
    Path settings = directory.resolve("node.yaml");
    Map<String, String> values = values(addresses, callers);
    program.writeSettings(settings, values);
    List<String> log = new CopyOnWriteArrayList<>();
    try (ManagedProcess node =
        ManagedProcess.start(
            "node",
            program.command(settings, values),
            root,
            directory.resolve("node.log"),
            log::add)) {
      await(() -> accepts(callers) || !node.isAlive());
      node.signal("HUP");
      await(() -> hasStarted(log) || !node.isAlive());
      assertTrue(node.isAlive(), "the node exited: " + log);
    }
  }

  private static Map<String, String> values(Addresses addresses, InetSocketAddress callers) {
    Map<String, String> values = new HashMap<>();
    values.put("nodeName", "node-1");
    values.put("zone", "zone-a");
    values.put("ip", callers.getAddress().getHostAddress());
    values.put("limits.cpuCores", "1");
    values.put("listen.front", Addresses.format(callers));
    values.put("listen.ready", Addresses.format(addresses.realAddress(1, 1, Addresses.READY_PORT)));
    values.put("internalPortRange.0", Integer.toString(Addresses.PEERS_PORT));
    values.put(
        "platform.address", Addresses.format(addresses.realAddress(3, 1, Addresses.SERVICE_PORT)));
    return values;
  }

  private static boolean hasStarted(List<String> log) {
    return log.stream().anyMatch(line -> line.contains("event=started"));
  }

  private static boolean accepts(InetSocketAddress address) {
    try (Socket connection = new Socket(address.getAddress(), address.getPort())) {
      return connection.isConnected();
    } catch (IOException notYet) {
      return false;
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + WAIT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "the condition did not become true in time");
      Thread.sleep(1);
    }
  }
}
