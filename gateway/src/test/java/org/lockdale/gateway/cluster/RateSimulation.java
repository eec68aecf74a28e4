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
import org.lockdale.gateway.backend.RateStatement;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.RateReport;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * Many nodes on a simulated network before back ends that name rates. Time, messages, clocks and
 * back ends are simulated; the election of relays, what is believed, told, lent and counted are the
 * product's own.
 */
final class RateSimulation {

  private static final long TICK_MILLIS = 200;
  private static final long RELAY_TICK_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long UPKEEP_MILLIS = 500;
  private static final long MAX_PROOF_AGE_MILLIS = 2_000;
  private static final long ANSWER_MILLIS = 40;
  private static final int MAX_SILENT_QUESTIONS = 3;
  private static final long LINK_MICROS = 1_000;
  private static final int JITTER_MICROS = 3_000;
  private static final int SERVICE_MICROS = 80_000;
  private static final int PREFERRED_NODES = 6;

  /** The load balancer takes a node out that misses two checks. */
  private static final long UNREADY_MILLIS = 2_000;

  /** One node and its lives. */
  final class Node implements Time {
    final String id;
    private final PeerNode peer;
    private final boolean preferred;
    private final long clockOffset = random.nextInt(1_000_000);
    private VirtualExecutor executor = new VirtualExecutor(time);
    private RelayElection election;
    private BackendRates rates;
    private RateExchange exchange;
    private long life;
    private int silentQuestions;
    private long frozenUntilMicros;
    private long cutAtMillis = Long.MAX_VALUE;
    private boolean wasServing;
    boolean up;

    /** Whether the build is of an earlier version, which knows nothing of rates. */
    boolean isFormerBuild;

    /** Nodes of different groups don't hear each other; group 0 is the rest. */
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
      life++;
      executor = new AwakeExecutor(time, () -> frozenUntilMicros);
      election = new RelayElection(id, MAX_PROOF_AGE_MILLIS);
      rates = new BackendRates(this);
      exchange =
          new RateExchange(
              new RateExchange.Context(
                  id,
                  life,
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
      executor.scheduleAtFixedRate(this::upkeep, first, UPKEEP_MILLIS, TimeUnit.MILLISECONDS);
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

    void cut(int newGroup) {
      group = newGroup;
      cutAtMillis = newGroup == 0 ? Long.MAX_VALUE : time.monotonicMillis();
    }

    private boolean isAwake() {
      return frozenUntilMicros <= time.nowMicros();
    }

    private boolean takesCallers() {
      return up && isAwake() && time.monotonicMillis() - UNREADY_MILLIS < cutAtMillis;
    }

    private void tick() {
      election.tick(nodes.size(), preferred, monotonicMillis(), time.monotonicMillis());
      if (election.isServing() && !wasServing) {
        heartbeat();
      }
      wasServing = election.isServing();
      long pause = wasServing ? RELAY_TICK_MILLIS : TICK_MILLIS;
      executor.schedule(this::tick, pause, TimeUnit.MILLISECONDS);
    }

    private void heartbeat() {
      if (!election.isServing()) {
        return;
      }
      RelayHeartbeat heartbeat =
          new RelayHeartbeat(
              election.servingSinceMillis(), false, life, monotonicMillis(), 0.0, List.of());
      for (Node other : nodes) {
        if (other != this) {
          deliver(this, other, () -> other.heard(this, heartbeat));
        }
      }
    }

    private void heard(Node relay, RelayHeartbeat heartbeat) {
      election.heard(
          relay.id,
          relay.peer.address(),
          heartbeat.getServingSince(),
          monotonicMillis(),
          monotonicMillis());
      if (!isFormerBuild) {
        exchange.heard(relay.id, relay.peer.address(), heartbeat);
      }
    }

    private void upkeep() {
      if (!isFormerBuild) {
        exchange.tick();
      }
    }

    private void receive(Node sender, Object message) {
      if (isFormerBuild) {
        return;
      }
      if (message instanceof RateReport report) {
        exchange.told(sender.id, report);
      } else if (message instanceof ShareLoan loan) {
        exchange.borrow(sender.id, loan);
      } else if (message instanceof ShareRecall recall) {
        exchange.release(sender.id, sender.peer.address(), recall);
      } else if (message instanceof ShareReleased released) {
        exchange.released(sender.id, released);
      }
    }

    /** Chooses by this node's count; those that name rates first, which is the hard case. */
    private Optional<RatedBackend> choose() {
      RatedBackend best = null;
      for (RatedBackend candidate : backends) {
        boolean open = isFormerBuild || rates.hasRoom(candidate.id());
        if (open && (best == null || random.nextInt(backends.size()) == 0)) {
          best = candidate;
        }
      }
      return best != null && (isFormerBuild || rates.tryTake(best.id()))
          ? Optional.of(best)
          : Optional.empty();
    }

    private void arrive() {
      asked++;
      election
          .coordinator(monotonicMillis())
          .ifPresentOrElse(relay -> ask(byId.get(relay.id()), false), this::decide);
    }

    private void ask(Node relay, boolean isRepeat) {
      long current = life;
      boolean[] answered = {false};
      deliver(
          this,
          relay,
          () -> {
            Optional<RatedBackend> chosen = relay.choose();
            boolean isGranted = chosen.isPresent() && relay.isCounted(chosen.get());
            deliver(
                relay,
                this,
                () -> {
                  if (!answered[0] && life == current) {
                    answered[0] = true;
                    silentQuestions = 0;
                    answered(relay, chosen, isGranted);
                  }
                });
          });
      executor.schedule(
          () -> {
            if (!answered[0]) {
              answered[0] = true;
              unanswered(relay, isRepeat);
            }
          },
          ANSWER_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    private void answered(Node relay, Optional<RatedBackend> chosen, boolean isGranted) {
      if (chosen.isEmpty()) {
        refused++;
      } else if (isFormerBuild || isGranted || tryCount(relay, chosen.get().id())) {
        run(chosen.get());
      } else {
        exchange.uncounted(relay.id, chosen.get().id());
        decide();
      }
    }

    private boolean isCounted(RatedBackend backend) {
      return !isFormerBuild && rates.isLimited(backend.id());
    }

    private boolean tryCount(Node relay, String backend) {
      boolean knowsRates = exchange.knowsRates(relay.id);
      return knowsRates && !rates.wasNamedLately(backend) || rates.tryTake(backend);
    }

    private void unanswered(Node relay, boolean isRepeat) {
      if (++silentQuestions >= MAX_SILENT_QUESTIONS) {
        silentQuestions = 0;
        election.failed(relay.id, monotonicMillis());
      }
      Optional<Node> next =
          election.relays(monotonicMillis()).stream()
              .map(each -> byId.get(each.id()))
              .filter(each -> each != relay)
              .findFirst();
      if (isRepeat || next.isEmpty()) {
        decide();
      } else {
        ask(next.get(), true);
      }
    }

    private void decide() {
      choose().ifPresentOrElse(this::run, () -> refused++);
    }

    private void run(RatedBackend backend) {
      String target = backend.id();
      long sentAt = monotonicMillis();
      long current = life;
      rates.sent(target);
      time.schedule(
          LINK_MICROS + random.nextInt(JITTER_MICROS),
          () -> {
            if (!backend.id().equals(target)) {
              return;
            }
            // An earlier version can't obey, whatever it has passed on in a life before.
            backend.arrived(isFormerBuild ? "" : id, time.monotonicMillis());
            time.schedule(
                random.nextInt(SERVICE_MICROS),
                () -> {
                  RateStatement statement = backend.statement();
                  time.schedule(
                      LINK_MICROS + random.nextInt(JITTER_MICROS),
                      () ->
                          whenAwake(
                              this, current, () -> passOn(backend, target, statement, sentAt)));
                });
          });
    }

    private void passOn(RatedBackend backend, String target, RateStatement statement, long sentAt) {
      if (!isFormerBuild) {
        if (backend.id().equals(target)) {
          backend.passedOn(id, statement, time.monotonicMillis());
        }
        rates.stated(target, statement, sentAt);
      }
    }
  }

  final VirtualTime time = new VirtualTime();
  final Random random;
  final List<Node> nodes = new ArrayList<>();
  final List<RatedBackend> backends = new ArrayList<>();
  private final Map<String, Node> byId = new HashMap<>();
  private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

  /** Of this many messages one is lost. */
  int oneLostIn = 100;

  int asked;
  int refused;
  long messages;

  RateSimulation(int nodeCount, int backendCount, long seed) {
    random = new Random(seed);
    for (int index = 0; index < backendCount; index++) {
      backends.add(new RatedBackend("i-" + index));
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
    long life = receiver.life;
    time.schedule(
        LINK_MICROS + random.nextInt(JITTER_MICROS),
        () -> {
          if (sender.group == receiver.group) {
            whenAwake(receiver, life, delivery);
          }
        });
  }

  /** What comes for a frozen node waits until it wakes. */
  private void whenAwake(Node node, long life, Runnable action) {
    if (!node.up || node.life != life) {
      return;
    }
    if (node.isAwake()) {
      action.run();
    } else {
      time.schedule(node.frozenUntilMicros - time.nowMicros(), () -> whenAwake(node, life, action));
    }
  }

  /** Sends requests to nodes that take callers, at a rate, until some time. */
  void ask(double perSecond, long untilMillis) {
    long pause = (long) (-Math.log(1 - random.nextDouble()) * 1_000_000 / perSecond);
    time.schedule(
        pause,
        () -> {
          if (time.monotonicMillis() < untilMillis) {
            List<Node> taking = nodes.stream().filter(Node::takesCallers).toList();
            if (!taking.isEmpty()) {
              taking.get(random.nextInt(taking.size())).arrive();
            }
            ask(perSecond, untilMillis);
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
    backends.forEach(backend -> backend.end(untilMillis));
  }
}
