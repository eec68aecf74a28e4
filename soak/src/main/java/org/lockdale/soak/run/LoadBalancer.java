package org.lockdale.soak.run;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.platform.RawCaller;
import org.lockdale.soak.standin.Addresses;

/**
 * Selects the node of each new connection as the platform does. The readiness of each node is
 * polled every second; a node that fails two polls in a row gets no connections until a poll
 * succeeds.
 */
final class LoadBalancer implements Closeable {

  private static final long POLL_INTERVAL_MILLIS = 1_000;
  private static final int RESPONSE_TIMEOUT_MILLIS = 500;
  private static final int FAILURE_THRESHOLD = 2;
  private static final int OK = 200;

  private final Processes processes;
  private final List<String> nodes;
  private final Map<String, Integer> consecutiveFailures = new ConcurrentHashMap<>();
  private final Map<String, Thread> threads = new HashMap<>();

  LoadBalancer(Processes processes, List<String> nodes) {
    this.processes = processes;
    this.nodes = nodes;
    for (String node : nodes) {
      consecutiveFailures.put(node, FAILURE_THRESHOLD);
      Thread thread = new Thread(() -> poll(node), "readiness-" + node);
      thread.setDaemon(true);
      threads.put(node, thread);
      thread.start();
    }
  }

  /** Returns whether all nodes are ready. */
  boolean allReady() {
    return nodes.stream().allMatch(this::isReady);
  }

  private boolean isReady(String node) {
    return consecutiveFailures.getOrDefault(node, FAILURE_THRESHOLD) < FAILURE_THRESHOLD;
  }

  /** Returns the node for a new connection; selects among all nodes if under half are ready. */
  String nodeFor(int hash) {
    List<String> ready = nodes.stream().filter(this::isReady).toList();
    List<String> candidates = ready.size() * 2 < nodes.size() ? nodes : ready;
    return candidates.get(Math.floorMod(hash, candidates.size()));
  }

  InetSocketAddress addressOf(String node) {
    return processes.proxiedAddress(node, Addresses.SERVICE_PORT);
  }

  private void poll(String node) {
    InetSocketAddress address = processes.proxiedAddress(node, Addresses.READY_PORT);
    try {
      while (true) {
        boolean ready = isReady(address);
        consecutiveFailures.merge(node, 1, (failures, one) -> ready ? 0 : failures + one);
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean isReady(InetSocketAddress address) {
    try (RawCaller caller = new RawCaller(address, RESPONSE_TIMEOUT_MILLIS)) {
      caller.setReadTimeout(RESPONSE_TIMEOUT_MILLIS);
      caller.send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n");
      return caller.read().status() == OK;
    } catch (IOException unreachable) {
      return false;
    }
  }

  @Override
  public void close() {
    threads.values().forEach(Thread::interrupt);
  }
}
