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
 * Chooses the node of each new connection as the platform does: nodes are asked each second whether
 * they serve, and one that misses twice gets none until it answers again.
 */
final class Entrance implements Closeable {

  private static final long ASK_MILLIS = 1_000;
  private static final int ANSWER_MILLIS = 500;
  private static final int MISSES = 2;
  private static final int OK = 200;

  private final Processes processes;
  private final List<String> nodes;
  private final Map<String, Integer> misses = new ConcurrentHashMap<>();
  private final Map<String, Thread> threads = new HashMap<>();

  Entrance(Processes processes, List<String> nodes) {
    this.processes = processes;
    this.nodes = nodes;
    for (String node : nodes) {
      misses.put(node, MISSES);
      Thread thread = new Thread(() -> ask(node), "entrance-" + node);
      thread.setDaemon(true);
      threads.put(node, thread);
      thread.start();
    }
  }

  /** Returns whether all nodes serve. */
  boolean allServe() {
    return nodes.stream().allMatch(this::serves);
  }

  private boolean serves(String node) {
    return misses.getOrDefault(node, MISSES) < MISSES;
  }

  /** Returns the node for a new connection; all nodes are used where under half of them serve. */
  String nodeFor(int hash) {
    List<String> serving = nodes.stream().filter(this::serves).toList();
    List<String> used = serving.size() * 2 < nodes.size() ? nodes : serving;
    return used.get(Math.floorMod(hash, used.size()));
  }

  InetSocketAddress addressOf(String node) {
    return processes.proxied(node, Addresses.SERVICE_PORT);
  }

  private void ask(String node) {
    InetSocketAddress address = processes.proxied(node, Addresses.READY_PORT);
    try {
      while (true) {
        boolean serves = serves(address);
        misses.merge(node, 1, (known, one) -> serves ? 0 : known + one);
        Thread.sleep(ASK_MILLIS);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean serves(InetSocketAddress address) {
    try (RawCaller caller = new RawCaller(address, ANSWER_MILLIS)) {
      caller.setPatience(ANSWER_MILLIS);
      caller.send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n");
      return caller.read().status() == OK;
    } catch (IOException silent) {
      return false;
    }
  }

  @Override
  public void close() {
    threads.values().forEach(Thread::interrupt);
  }
}
