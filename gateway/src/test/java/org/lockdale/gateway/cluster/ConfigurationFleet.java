package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.table.TableFeed;
import org.lockdale.gateway.table.TableFollower;
import org.lockdale.gateway.table.TablePage;
import org.lockdale.gateway.table.TablePeers;
import org.lockdale.gateway.table.TableRowChange;
import org.lockdale.gateway.table.TransferTooLargeException;
import org.lockdale.protocol.generated.RelayHeartbeat;

/**
 * Simulates a fleet that copies the operators' table over relays. Time, links, the store and faults
 * are simulated; the election, the heartbeats and the followers of tables run the production code.
 */
final class ConfigurationFleet {

  private static final long LINK_MICROS = 1_400;
  private static final int JITTER_MICROS = 3_000;
  private static final long STORE_MICROS = 4_000;
  private static final long LOSSY_CALL_MICROS = 300_000;
  private static final int ONE_IN_LOST = 100;
  private static final int ONE_IN_LOST_IF_LOSSY = 3;
  private static final Duration STORE_WAIT = Duration.ofMillis(600);
  private static final Duration RELAXED_WAIT = Duration.ofMillis(1_800);
  private static final Duration RELAY_PROOF_MARGIN = Duration.ofMillis(900);
  private static final Duration NEVER_ALONE = Duration.ofDays(1);
  private static final int STAGGER_MILLIS = 100;
  private static final Duration BATCH_DELAY = Duration.ofMillis(250);
  private static final Duration MAX_PROOF_AGE = Duration.ofMillis(1_600);
  private static final long STORE_TIMEOUT_MILLIS = 800;
  private static final long PEER_TIMEOUT_MILLIS = 600;
  private static final double BETTER_LINK = 200;
  private static final double USUAL_LINK = 10;

  /** A node with its present incarnation. */
  final class Node implements Time {
    final String id;
    private final PeerNode peer;
    private final long clockOffset = random.nextInt(1_000_000);
    private final long stagger = random.nextInt(STAGGER_MILLIS);
    private FreezableExecutor executor = new FreezableExecutor(time, () -> 0);
    private RelayController relays;
    private Map<String, TableFollower> followers = new HashMap<>();
    private final Set<CompletableFuture<TablePage>> storeCalls = new HashSet<>();
    private @Nullable RelayFault fault;
    private long frozenUntilMicros;
    private boolean up;
    private long incarnation;
    private long versionInForce;
    private boolean struck;

    private Node(int index, double linkMbps) {
      id = "node-" + index;
      peer = new PeerNode(id, new InetSocketAddress("127.0.0.1", index + 1), linkMbps);
    }

    @Override
    public long monotonicMillis() {
      return time.monotonicMillis() + clockOffset;
    }

    @Override
    public long wallMillis() {
      return time.wallMillis();
    }

    @Override
    public String toString() {
      return id;
    }

    boolean isServing() {
      return up && relays.isServing();
    }

    private void start() {
      up = true;
      incarnation++;
      versionInForce = 0;
      executor = new FreezableExecutor(time, () -> frozenUntilMicros);
      NodeRegistry registry = new NodeRegistry(executor, new EmptyClusterTable(), peer, this);
      nodes.forEach(node -> registry.onNodeRow(node.peer, 1));
      registry.refresh();
      StoreClock clock = new StoreClock();
      TableFollower.Sources sources = new TableFollower.Sources(new Feed(this), this::call, clock);
      List<TableFollower> tables =
          List.of(
              follower(
                  sources,
                  SimulatedOperatorStore.OPERATORS,
                  STORE_WAIT,
                  Duration.ZERO,
                  this::apply),
              follower(sources, "backends", RELAXED_WAIT, BATCH_DELAY, (rows, changed, at) -> {}),
              follower(sources, "cluster", RELAXED_WAIT, BATCH_DELAY, (rows, changed, at) -> {}));
      tables.get(0).setCompanions(tables.subList(1, tables.size()));
      followers = new HashMap<>();
      tables.forEach(table -> followers.put(table.table(), table));
      relays =
          new RelayController(
              executor,
              registry,
              (receivers, heartbeat) -> broadcast(this, receivers, heartbeat),
              tables,
              clock,
              MAX_PROOF_AGE,
              incarnation,
              false,
              this,
              () -> 0,
              serving -> {});
      tables.forEach(TableFollower::start);
      relays.start();
    }

    private TableFollower follower(
        TableFollower.Sources sources,
        String table,
        Duration wait,
        Duration batchDelay,
        TableFollower.Listener listener) {
      Duration maxRelayProofAge =
          table.equals(SimulatedOperatorStore.OPERATORS)
              ? STORE_WAIT.plus(RELAY_PROOF_MARGIN).plusMillis(stagger)
              : NEVER_ALONE;
      TableFollower.Plan plan = new TableFollower.Plan(table, wait, batchDelay, maxRelayProofAge);
      return new TableFollower(executor, sources, plan, this, listener);
    }

    private void apply(Map<String, TableRowChange> rows, boolean changed, long at) {
      long version = SimulatedOperatorStore.versionIn(rows);
      if (version <= versionInForce) {
        return;
      }
      if (versionInForce > 0 && !struck) {
        delays.note(versionInForce, version);
      }
      versionInForce = version;
    }

    private CompletableFuture<TablePeers.Response> call(
        InetSocketAddress address, String table, long afterChange) {
      Node other = byAddress.get(address);
      CompletableFuture<TablePeers.Response> response = new CompletableFuture<>();
      after(
          this,
          TimeUnit.MILLISECONDS.toMicros(PEER_TIMEOUT_MILLIS),
          () -> response.completeExceptionally(new IllegalStateException("no response")));
      if (isConnected(this, other) && other.fault != RelayFault.CALLS_UNANSWERED) {
        after(
            other,
            latency(this, other),
            () -> other.respond(this, other.followers.get(table), afterChange, response));
      }
      return response;
    }

    private void respond(
        Node caller,
        TableFollower table,
        long afterChange,
        CompletableFuture<TablePeers.Response> response) {
      if (!isConnected(this, caller)) {
        return;
      }
      if (!table.isKnown()) {
        reply(caller, () -> response.completeExceptionally(new IllegalStateException("404")));
      } else if (table.exceedsTransferLimitAfter(afterChange)) {
        reply(
            caller,
            () -> response.completeExceptionally(new TransferTooLargeException(table.table())));
      } else {
        TablePeers.Response copy = table.respond(afterChange);
        reply(caller, () -> response.complete(copy));
      }
    }

    private void reply(Node caller, Runnable action) {
      after(caller, latency(this, caller), action);
    }

    private boolean reachesStore() {
      return up
          && fault != RelayFault.REFUSED
          && fault != RelayFault.STORE_SILENT
          && fault != RelayFault.CUT_OFF;
    }
  }

  /** The store as a node reaches it. */
  private final class Feed implements TableFeed {
    private final Node node;

    Feed(Node node) {
      this.node = node;
    }

    @Override
    public CompletableFuture<TablePage> scan(String table, @Nullable String fromKey) {
      return call(() -> store.scan(table), Duration.ZERO);
    }

    @Override
    public CompletableFuture<TablePage> changes(String table, long afterVersion, Duration wait) {
      return call(() -> store.changes(table, afterVersion, wait), wait);
    }

    private CompletableFuture<TablePage> call(
        Supplier<CompletableFuture<TablePage>> request, Duration wait) {
      CompletableFuture<TablePage> response = new CompletableFuture<>();
      node.storeCalls.add(response);
      response.whenComplete((page, failure) -> node.storeCalls.remove(response));
      if (node.fault == RelayFault.REFUSED) {
        refusedCalls++;
        after(node, LINK_MICROS, () -> fail(response, TableServiceException.Kind.UNREACHABLE));
        return response;
      }
      after(
          node,
          TimeUnit.MILLISECONDS.toMicros(wait.toMillis() + STORE_TIMEOUT_MILLIS),
          () -> fail(response, TableServiceException.Kind.OUTCOME_UNKNOWN));
      time.schedule(
          storeLatency(node),
          () -> {
            if (node.reachesStore()) {
              request.get().thenAccept(page -> receive(page, response));
            }
          });
      return response;
    }

    private void receive(TablePage page, CompletableFuture<TablePage> response) {
      if (node.reachesStore()) {
        after(node, storeLatency(node), () -> response.complete(page));
      }
    }
  }

  private final VirtualTime time = new VirtualTime();
  private final SimulatedOperatorStore store = new SimulatedOperatorStore(time);
  private final ConfigurationDelays delays = new ConfigurationDelays(store, time);
  private final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();
  private long refusedCalls;

  /**
   * Creates a fleet and starts it.
   *
   * @param size number of nodes
   * @param betterLinks number of nodes that have better links than the others
   * @param seed seed of all draws
   */
  ConfigurationFleet(int size, int betterLinks, long seed) {
    random = new Random(seed);
    for (int index = 0; index < size; index++) {
      Node node = new Node(index, index < betterLinks ? BETTER_LINK : USUAL_LINK);
      nodes.add(node);
      byAddress.put(node.peer.address(), node);
    }
    for (Node node : nodes) {
      time.schedule(random.nextInt(300_000), node::start);
    }
  }

  private void broadcast(Node sender, List<InetSocketAddress> receivers, RelayHeartbeat heartbeat) {
    for (InetSocketAddress address : receivers) {
      Node receiver = byAddress.get(address);
      boolean lossy = sender.fault == RelayFault.LOSSY || receiver.fault == RelayFault.LOSSY;
      boolean lost = random.nextInt(lossy ? ONE_IN_LOST_IF_LOSSY : ONE_IN_LOST) == 0;
      if (!lost && isConnected(sender, receiver)) {
        after(
            receiver,
            LINK_MICROS + random.nextInt(JITTER_MICROS),
            () -> receiver.relays.onHeartbeat(sender.id, sender.peer.address(), heartbeat));
      }
    }
  }

  /** Runs an action on the event loop of a node's present incarnation. */
  private void after(Node node, long micros, Runnable action) {
    if (node.up) {
      node.executor.schedule(action, micros, TimeUnit.MICROSECONDS);
    }
  }

  private boolean isConnected(Node one, Node other) {
    return one.up && other.up && !isCut(one) && !isCut(other);
  }

  private static boolean isCut(Node node) {
    return node.fault == RelayFault.CUT_OFF || node.fault == RelayFault.CUT_FROM_NODES;
  }

  private long latency(Node one, Node other) {
    boolean lossy = one.fault == RelayFault.LOSSY || other.fault == RelayFault.LOSSY;
    return LINK_MICROS + random.nextInt(JITTER_MICROS) + (lossy ? LOSSY_CALL_MICROS : 0);
  }

  private long storeLatency(Node node) {
    return LINK_MICROS
        + STORE_MICROS / 2
        + random.nextInt(JITTER_MICROS)
        + (node.fault == RelayFault.LOSSY ? LOSSY_CALL_MICROS : 0);
  }

  private static void fail(CompletableFuture<TablePage> response, TableServiceException.Kind kind) {
    response.completeExceptionally(new TableServiceException(kind, "simulated"));
  }

  /** Strikes a node with a fault for a time. */
  void strike(Node node, RelayFault fault, long millis) {
    node.struck = true;
    node.fault = fault;
    if (fault == RelayFault.REFUSED) {
      List.copyOf(node.storeCalls)
          .forEach(
              call ->
                  after(
                      node, LINK_MICROS, () -> fail(call, TableServiceException.Kind.UNREACHABLE)));
    } else if (fault == RelayFault.KILLED) {
      node.up = false;
      node.executor.shutdown();
    } else if (fault == RelayFault.FROZEN) {
      node.frozenUntilMicros = time.nowMicros() + TimeUnit.MILLISECONDS.toMicros(millis);
    }
    time.schedule(TimeUnit.MILLISECONDS.toMicros(millis), () -> heal(node, fault));
  }

  private void heal(Node node, RelayFault fault) {
    if (node.fault != fault) {
      return;
    }
    node.fault = null;
    if (fault == RelayFault.KILLED) {
      node.start();
    }
  }

  /** Replaces the configuration after a delay. */
  void replaceConfigurationAfter(long millis) {
    time.schedule(TimeUnit.MILLISECONDS.toMicros(millis), store::replaceConfiguration);
  }

  void after(long millis, Runnable action) {
    time.schedule(TimeUnit.MILLISECONDS.toMicros(millis), action);
  }

  void run(long millis) {
    time.runMillis(millis);
  }

  List<Node> nodes() {
    return nodes;
  }

  List<Node> serving() {
    return nodes.stream().filter(Node::isServing).toList();
  }

  /** Returns the serving nodes that the store answers. */
  List<Node> servingWithStore() {
    return serving().stream().filter(Node::reachesStore).toList();
  }

  /** Returns the number of calls that the store got so far, including those that it refused. */
  long storeCalls() {
    return store.calls() + refusedCalls;
  }

  /**
   * Returns the longest time in milliseconds from the acknowledgement of a configuration until it
   * was in force at a node that no fault struck. A version that is not in force yet counts with its
   * present age.
   */
  long longestDelayMillis() {
    nodes.stream()
        .filter(node -> !node.struck)
        .forEach(node -> delays.note(node.versionInForce, Long.MAX_VALUE));
    return delays.longestMillis();
  }
}
