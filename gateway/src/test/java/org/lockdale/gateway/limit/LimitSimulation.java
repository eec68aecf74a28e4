package org.lockdale.gateway.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.configuration.LimitUnit;
import org.lockdale.gateway.configuration.TenantLimit;

/**
 * Simulates many nodes that keep tenants to their limits. Time, messages and clocks are simulated;
 * the state machines under test are those of production.
 */
final class LimitSimulation {

  static final long WINDOW_MILLIS = 8_000;
  static final LimitBound BOUND = new LimitBound(Duration.ofMillis(WINDOW_MILLIS), 0.1, 110_000);

  private static final int MESSAGES_PER_LOSS = 100;

  private final VirtualTime time = new VirtualTime();
  final List<LimitSimulationNode> nodes = new ArrayList<>();
  final List<TenantTraffic> traffics = new ArrayList<>();
  final Random random;
  final boolean kept;
  final SimulatedLevelRow levelRow;
  boolean storeUp = true;
  private final Map<String, LimitSimulationNode> byId = new HashMap<>();
  private Map<String, TenantLimit> limitsInStore = Map.of();

  LimitSimulation(int count, long seed) {
    this(count, seed, false);
  }

  LimitSimulation(int count, long seed, boolean kept) {
    this.kept = kept;
    random = new Random(seed);
    levelRow = new SimulatedLevelRow(this::after, seed);
    for (int index = 0; index < count; index++) {
      addNode();
    }
  }

  LimitSimulationNode addNode() {
    LimitSimulationNode node = new LimitSimulationNode(this, nodes.size());
    nodes.add(node);
    byId.put(node.id, node);
    node.start();
    return node;
  }

  long now() {
    return time.monotonicMillis();
  }

  LimitSimulationNode node(String id) {
    return byId.get(id);
  }

  Map<String, TenantLimit> limitsInStore() {
    return limitsInStore;
  }

  void limit(String tenant, TenantLimit limit) {
    Map<String, TenantLimit> limits = new HashMap<>(limitsInStore);
    limits.put(tenant, limit);
    limitsInStore = Map.copyOf(limits);
    traffics.stream()
        .filter(traffic -> traffic.tenant.equals(tenant))
        .forEach(traffic -> traffic.setLimit(limit));
  }

  TenantTraffic tenant(String name, double ratePerSecond, Predicate<LimitSimulationNode> receives) {
    TenantLimit limit = new TenantLimit(ratePerSecond, ratePerSecond, LimitUnit.TOKENS, 200);
    TenantTraffic traffic = new TenantTraffic(name, limit, receives);
    traffics.add(traffic);
    limit(name, limit);
    return traffic;
  }

  /** Generates requests of a few sizes for a tenant at a rate until a time. */
  void generateRequests(TenantTraffic traffic, double tokensPerSecond, long untilMillis) {
    double amount = amount();
    double pause = -Math.log(1 - random.nextDouble()) * amount * 1_000 / tokensPerSecond;
    after(
        (long) pause,
        () -> {
          if (now() >= untilMillis) {
            return;
          }
          arrive(traffic, amount);
          generateRequests(traffic, tokensPerSecond, untilMillis);
        });
  }

  private double amount() {
    int draw = random.nextInt(100);
    return draw < 60 ? 880 : draw < 98 ? 9_200 : 20_000;
  }

  private void arrive(TenantTraffic traffic, double amount) {
    List<LimitSimulationNode> receivers =
        nodes.stream().filter(LimitSimulationNode::isReady).filter(traffic.receives).toList();
    if (receivers.isEmpty()) {
      receivers = nodes.stream().filter(LimitSimulationNode::isReady).toList();
    }
    if (receivers.isEmpty()) {
      // No node can receive the request, which does not concern the limits.
      return;
    }
    traffic.recordDemand(amount, now());
    receivers.get(random.nextInt(receivers.size())).onRequest(traffic, amount);
  }

  void after(long millis, Runnable action) {
    time.schedule(millis * 1_000, action);
  }

  void at(long millis, Runnable action) {
    time.schedule(millis * 1_000 - time.nowMicros(), action);
  }

  /** Delivers a message of a node to another one after some milliseconds, or loses it. */
  void send(LimitSimulationNode sender, LimitSimulationNode receiver, Runnable delivery) {
    if (random.nextInt(MESSAGES_PER_LOSS) == 0 || sender.group != receiver.group) {
      return;
    }
    after(
        1 + random.nextInt(3),
        () -> {
          if (sender.group == receiver.group) {
            receiver.whenAwake(receiver.incarnation(), delivery);
          }
        });
  }

  /** Returns the relay that most nodes use, which is the one with the largest sum of shares. */
  LimitSimulationNode limitRelay() {
    return nodes.stream()
        .filter(LimitSimulationNode::isServingRelay)
        .max((a, b) -> Double.compare(a.shareOf(a.id), b.shareOf(b.id)))
        .orElse(nodes.get(0));
  }

  void runUntil(long millis) {
    time.runUntil(millis * 1_000);
  }
}
