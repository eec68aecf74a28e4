package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.protocol.Message;

/**
 * Simulates many nodes on a network in front of backends that advertise rates. Time, messages,
 * clocks and backends are simulated; the election of relays and the exchange, lending and counting
 * of rates run the production code.
 */
final class RateSimulation {

  private static final long LINK_MICROS = 1_000;
  private static final int JITTER_MICROS = 3_000;

  final VirtualTime time = new VirtualTime();
  final Random random;
  final List<RateSimulationNode> nodes = new ArrayList<>();
  final List<RateLimitedBackend> backends = new ArrayList<>();
  private final Map<String, RateSimulationNode> byId = new HashMap<>();
  private final Map<InetSocketAddress, RateSimulationNode> byAddress = new HashMap<>();

  /** One message in this many is lost. */
  int oneLostIn = 100;

  int arrivedRequests;
  int rejected;
  long messages;

  RateSimulation(int nodeCount, int backendCount, long seed) {
    random = new Random(seed);
    for (int index = 0; index < backendCount; index++) {
      backends.add(new RateLimitedBackend("i-" + index));
    }
    for (int index = 0; index < nodeCount; index++) {
      addNode();
    }
  }

  RateSimulationNode addNode() {
    RateSimulationNode node = new RateSimulationNode(this, nodes.size());
    nodes.add(node);
    byId.put(node.id, node);
    byAddress.put(node.peer.address(), node);
    node.start();
    return node;
  }

  /** Returns the incarnations of the backends that have a record. */
  Set<String> recordedBackends() {
    return backends.stream()
        .filter(backend -> backend.recorded)
        .map(RateLimitedBackend::id)
        .collect(Collectors.toSet());
  }

  RateSimulationNode node(String id) {
    return byId.get(id);
  }

  List<PeerNode> peersOf(RateSimulationNode self) {
    return nodes.stream().filter(node -> node != self).map(node -> node.peer).toList();
  }

  void send(RateSimulationNode sender, Collection<InetSocketAddress> receivers, Message message) {
    for (InetSocketAddress receiver : receivers) {
      RateSimulationNode node = byAddress.get(receiver);
      messages++;
      deliver(sender, node, () -> node.receive(sender, message));
    }
  }

  /** Draws the time that a message or a request spends on its way, in microseconds. */
  long linkMicros() {
    return LINK_MICROS + random.nextInt(JITTER_MICROS);
  }

  /** Delivers a message of a node to another one, or loses it. */
  void deliver(RateSimulationNode sender, RateSimulationNode receiver, Runnable delivery) {
    if (random.nextInt(oneLostIn) == 0 || sender.group != receiver.group) {
      return;
    }
    long incarnation = receiver.incarnation();
    time.schedule(
        linkMicros(),
        () -> {
          if (sender.group == receiver.group) {
            receiver.whenAwake(incarnation, delivery);
          }
        });
  }

  /** Sends requests to nodes that accept callers, at a rate, until a time. */
  void generateRequests(double perSecond, long untilMillis) {
    long pause = (long) (-Math.log(1 - random.nextDouble()) * 1_000_000 / perSecond);
    time.schedule(
        pause,
        () -> {
          if (time.monotonicMillis() < untilMillis) {
            List<RateSimulationNode> taking =
                nodes.stream().filter(RateSimulationNode::acceptsCallers).toList();
            if (!taking.isEmpty()) {
              taking.get(random.nextInt(taking.size())).requests().arrive();
            }
            generateRequests(perSecond, untilMillis);
          }
        });
  }

  void at(long millis, Runnable action) {
    time.schedule(millis * 1_000 - time.nowMicros(), action);
  }

  void after(long millis, Runnable action) {
    time.schedule(millis * 1_000, action);
  }

  /** Returns the serving relay that places the requests of most nodes. */
  RateSimulationNode coordinator() {
    return nodes.stream()
        .filter(RateSimulationNode::isServingRelay)
        .min(Comparator.comparingLong(node -> node.election().servingSinceMillis()))
        .orElse(nodes.get(0));
  }

  void run(long untilMillis) {
    time.runUntil(untilMillis * 1_000);
    backends.forEach(backend -> backend.finish(untilMillis));
  }
}
