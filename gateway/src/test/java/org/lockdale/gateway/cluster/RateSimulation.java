package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.RateReport;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * Simulates many nodes on a network in front of backends that advertise rates. Time, messages,
 * clocks and backends are simulated; the election of relays and the exchange, lending and counting
 * of rates run the production code.
 */
final class RateSimulation {

  private static final long TICK_MILLIS = 200;
  private static final long RELAY_TICK_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long UPKEEP_MILLIS = 500;
  private static final long MAX_PROOF_AGE_MILLIS = 2_000;
  private static final long ANSWER_TIMEOUT_MILLIS = 40;
  private static final int MAX_UNANSWERED_QUERIES = 3;
  private static final long LINK_MICROS = 1_000;
  private static final int JITTER_MICROS = 3_000;
  private static final int SERVICE_MICROS = 80_000;
  private static final int PREFERRED_NODES = 6;

  /** The load balancer stops using a node that misses two checks. */
  private static final long UNREADY_MILLIS = 2_000;

  /** A node with all its incarnations. */
  final class Node implements Time {
    final String id;
    private final PeerNode peer;
    private final boolean preferred;
    private final long clockOffset = random.nextInt(1_000_000);
    private VirtualExecutor executor = new VirtualExecutor(time);
    private RelayElection election;
    private BackendRates rates;
    private RateExchange exchange;
    private long incarnation;
    private int unansweredQueries;
    private long frozenUntilMicros;
    private long partitionedAtMillis = Long.MAX_VALUE;
    private boolean servedBefore;
    boolean up;

    /** Whether the node runs an earlier version, which does not support rates. */
    boolean isEarlierVersion;

    /**
     * Network partition of the node: nodes of different groups cannot reach each other; 0 is the
     * group of all that are not isolated.
     */
    private int group;

    private Node(int index) {
      id = "node-" + index;
      peer = new PeerNode(id, new InetSocketAddress("127.0.0.1", index + 1), 1);
      preferred = index < PREFERRED_NODES;
    }

    @Override
    public long monotonicMillis() {
      return time.monotonicMillis() + clockOffset;
    }

    @Override
    public long wallMillis() {
      return time.wallMillis();
    }

    void start() {
      up = true;
      incarnation++;
      executor = new FreezableExecutor(time, () -> frozenUntilMicros);
      election = new RelayElection(id, MAX_PROOF_AGE_MILLIS);
      rates = new BackendRates(this);
      exchange =
          new RateExchange(
              new RateExchange.Context(
                  id,
                  incarnation,
                  executor,
                  (receivers, message) -> send(this, receivers, message),
                  () -> election.coordinator(monotonicMillis()),
                  () -> election.isServing() && election.coordinator(monotonicMillis()).isEmpty(),
                  () -> election.relays(monotonicMillis()),
                  () -> peersOf(this),
                  nodes::size,
                  rates,
                  monotonicMillis(),
                  this));
      long first = random.nextInt((int) TICK_MILLIS);
      executor.schedule(this::tick, first, TimeUnit.MILLISECONDS);
      executor.scheduleAtFixedRate(this::heartbeat, first, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
      executor.scheduleAtFixedRate(this::runUpkeep, first, UPKEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    void kill() {
      up = false;
      executor.shutdown();
    }

    void restartAfter(long millis) {
      kill();
      time.schedule(millis * 1_000, this::start);
    }

    void freeze(long millis) {
      frozenUntilMicros = time.nowMicros() + millis * 1_000;
    }

    void partition(int newGroup) {
      group = newGroup;
      partitionedAtMillis = newGroup == 0 ? Long.MAX_VALUE : time.monotonicMillis();
    }

    private boolean isAwake() {
      return frozenUntilMicros <= time.nowMicros();
    }

    private boolean acceptsCallers() {
      return up && isAwake() && time.monotonicMillis() - UNREADY_MILLIS < partitionedAtMillis;
    }

    private void tick() {
      election.tick(nodes.size(), preferred, monotonicMillis(), time.monotonicMillis());
      if (election.isServing() && !servedBefore) {
        heartbeat();
      }
      servedBefore = election.isServing();
      long pause = servedBefore ? RELAY_TICK_MILLIS : TICK_MILLIS;
      executor.schedule(this::tick, pause, TimeUnit.MILLISECONDS);
    }

    private void heartbeat() {
      if (!election.isServing()) {
        return;
      }
      RelayHeartbeat heartbeat =
          new RelayHeartbeat(
              election.servingSinceMillis(), false, incarnation, monotonicMillis(), 0.0, List.of());
      for (Node other : nodes) {
        if (other != this) {
          deliver(this, other, () -> other.onHeartbeat(this, heartbeat));
        }
      }
    }

    private void onHeartbeat(Node relay, RelayHeartbeat heartbeat) {
      election.onHeartbeat(
          relay.id,
          relay.peer.address(),
          heartbeat.getServingSince(),
          monotonicMillis(),
          monotonicMillis());
      if (!isEarlierVersion) {
        exchange.onHeartbeat(relay.id, relay.peer.address(), heartbeat);
      }
    }

    private void runUpkeep() {
      if (!isEarlierVersion) {
        exchange.tick();
      }
    }

    private void receive(Node sender, Object message) {
      if (isEarlierVersion) {
        return;
      }
      if (message instanceof RateReport report) {
        exchange.onReport(sender.id, report);
      } else if (message instanceof ShareLoan loan) {
        exchange.borrow(sender.id, loan);
      } else if (message instanceof ShareRecall recall) {
        exchange.onRecall(sender.id, sender.peer.address(), recall);
      } else if (message instanceof ShareReleased released) {
        exchange.onReleased(sender.id, released);
      }
    }

    /**
     * Chooses a backend by this node's counts. Prefers those that advertise rates, which is the
     * hard case.
     */
    private Optional<RateLimitedBackend> choose() {
      RateLimitedBackend best = null;
      for (RateLimitedBackend candidate : backends) {
        boolean open = isEarlierVersion || rates.hasRoom(candidate.id());
        if (open && (best == null || random.nextInt(backends.size()) == 0)) {
          best = candidate;
        }
      }
      return best != null && (isEarlierVersion || rates.tryTake(best.id()))
          ? Optional.of(best)
          : Optional.empty();
    }

    private void arrive() {
      arrivedRequests++;
      election
          .coordinator(monotonicMillis())
          .ifPresentOrElse(relay -> sendQuery(byId.get(relay.id()), false), this::decide);
    }

    private void sendQuery(Node relay, boolean isRepeat) {
      long current = incarnation;
      boolean[] answered = {false};
      deliver(
          this,
          relay,
          () -> {
            Optional<RateLimitedBackend> chosen = relay.choose();
            boolean isGranted = chosen.isPresent() && relay.isCounted(chosen.get());
            deliver(
                relay,
                this,
                () -> {
                  if (!answered[0] && incarnation == current) {
                    answered[0] = true;
                    unansweredQueries = 0;
                    onAnswer(relay, chosen, isGranted);
                  }
                });
          });
      executor.schedule(
          () -> {
            if (!answered[0]) {
              answered[0] = true;
              onTimeout(relay, isRepeat);
            }
          },
          ANSWER_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    private void onAnswer(Node relay, Optional<RateLimitedBackend> chosen, boolean isGranted) {
      if (chosen.isEmpty()) {
        rejected++;
      } else if (isEarlierVersion || isGranted || tryCount(relay, chosen.get().id())) {
        run(chosen.get());
      } else {
        exchange.onUncountedPlacement(relay.id, chosen.get().id());
        decide();
      }
    }

    private boolean isCounted(RateLimitedBackend backend) {
      return !isEarlierVersion && rates.isLimited(backend.id());
    }

    private boolean tryCount(Node relay, String backend) {
      boolean supportsRates = exchange.supportsRates(relay.id);
      return supportsRates && !rates.wasRecentlyAdvertised(backend) || rates.tryTake(backend);
    }

    private void onTimeout(Node relay, boolean isRepeat) {
      if (++unansweredQueries >= MAX_UNANSWERED_QUERIES) {
        unansweredQueries = 0;
        election.markUnresponsive(relay.id, monotonicMillis());
      }
      Optional<Node> next =
          election.relays(monotonicMillis()).stream()
              .map(each -> byId.get(each.id()))
              .filter(each -> each != relay)
              .findFirst();
      if (isRepeat || next.isEmpty()) {
        decide();
      } else {
        sendQuery(next.get(), true);
      }
    }

    private void decide() {
      choose().ifPresentOrElse(this::run, () -> rejected++);
    }

    private void run(RateLimitedBackend backend) {
      String target = backend.id();
      long sentAt = monotonicMillis();
      long current = incarnation;
      rates.recordSend(target);
      time.schedule(
          LINK_MICROS + random.nextInt(JITTER_MICROS),
          () -> {
            if (!backend.id().equals(target)) {
              return;
            }
            // An earlier version cannot comply with a rate, whatever an earlier incarnation of the
            // node received.
            backend.onRequest(isEarlierVersion ? "" : id, time.monotonicMillis());
            time.schedule(
                random.nextInt(SERVICE_MICROS),
                () -> {
                  AdvertisedRate rate = backend.advertisedRate();
                  time.schedule(
                      LINK_MICROS + random.nextInt(JITTER_MICROS),
                      () ->
                          whenAwake(
                              this, current, () -> onResponse(backend, target, rate, sentAt)));
                });
          });
    }

    private void onResponse(
        RateLimitedBackend backend, String target, AdvertisedRate rate, long sentAt) {
      if (!isEarlierVersion) {
        if (backend.id().equals(target)) {
          backend.onResponseReceived(id, rate, time.monotonicMillis());
        }
        rates.recordResponse(target, rate, sentAt);
      }
    }
  }

  final VirtualTime time = new VirtualTime();
  final Random random;
  final List<Node> nodes = new ArrayList<>();
  final List<RateLimitedBackend> backends = new ArrayList<>();
  private final Map<String, Node> byId = new HashMap<>();
  private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

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

  Node addNode() {
    Node node = new Node(nodes.size());
    nodes.add(node);
    byId.put(node.id, node);
    byAddress.put(node.peer.address(), node);
    node.start();
    return node;
  }

  private List<PeerNode> peersOf(Node self) {
    return nodes.stream().filter(node -> node != self).map(node -> node.peer).toList();
  }

  private void send(Node sender, Collection<InetSocketAddress> receivers, Message message) {
    for (InetSocketAddress receiver : receivers) {
      Node node = byAddress.get(receiver);
      messages++;
      deliver(sender, node, () -> node.receive(sender, message));
    }
  }

  private void deliver(Node sender, Node receiver, Runnable delivery) {
    if (random.nextInt(oneLostIn) == 0 || sender.group != receiver.group) {
      return;
    }
    long incarnation = receiver.incarnation;
    time.schedule(
        LINK_MICROS + random.nextInt(JITTER_MICROS),
        () -> {
          if (sender.group == receiver.group) {
            whenAwake(receiver, incarnation, delivery);
          }
        });
  }

  /** Runs an action when a node is awake: what arrives at a frozen node waits until it wakes. */
  private void whenAwake(Node node, long incarnation, Runnable action) {
    if (!node.up || node.incarnation != incarnation) {
      return;
    }
    if (node.isAwake()) {
      action.run();
    } else {
      time.schedule(
          node.frozenUntilMicros - time.nowMicros(), () -> whenAwake(node, incarnation, action));
    }
  }

  /** Sends requests to nodes that accept callers, at a rate, until a time. */
  void generateRequests(double perSecond, long untilMillis) {
    long pause = (long) (-Math.log(1 - random.nextDouble()) * 1_000_000 / perSecond);
    time.schedule(
        pause,
        () -> {
          if (time.monotonicMillis() < untilMillis) {
            List<Node> taking = nodes.stream().filter(Node::acceptsCallers).toList();
            if (!taking.isEmpty()) {
              taking.get(random.nextInt(taking.size())).arrive();
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
  Node coordinator() {
    return nodes.stream()
        .filter(node -> node.up && node.election.isServing())
        .min(Comparator.comparingLong(node -> node.election.servingSinceMillis()))
        .orElse(nodes.get(0));
  }

  void run(long untilMillis) {
    time.runUntil(untilMillis * 1_000);
    backends.forEach(backend -> backend.finish(untilMillis));
  }
}
