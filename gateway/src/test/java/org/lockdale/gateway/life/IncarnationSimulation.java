package org.lockdale.gateway.life;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.lockdale.gateway.weights.EngineControl;
import org.lockdale.gateway.weights.EngineState;
import org.lockdale.gateway.weights.LoadOrder;
import org.lockdale.gateway.weights.OrderOutcome;

/**
 * Simulates nodes that track engines which restart under their ids every second or two, during
 * rollouts. Clocks of engines jump, nodes are isolated from the store and from each other, and
 * writes of an earlier incarnation take effect late. The order of incarnations, the detection that
 * one has ended, and the tracking of weights and work are the production code.
 */
final class IncarnationSimulation {

  static final int NODES = 100;
  static final int ENGINES = 64;

  /**
   * Time in milliseconds after the last fault after which all nodes must know the present
   * incarnations.
   */
  static final long CONVERGENCE_MILLIS = 4_000;

  private static final String MODEL = "model";
  private static final long FAULTS_UNTIL_MILLIS = 20_000;
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final long MAX_SKEW_MILLIS = 6_000;
  private static final int REQUESTS_PER_SECOND = 300;
  private static final long START = 1_790_000_000_000L;

  /**
   * The result of a run.
   *
   * @param sends requests sent
   * @param misdirected requests that were rejected as meant for another incarnation or version
   * @param newerThanHeld requests that ran without an expected version of weights
   * @param left number of times that a node went back from the serving incarnation to an earlier
   *     one
   * @param wrongAtTheEnd entries in the tables of nodes that are wrong at the end of the run
   * @param wronglyOver serving incarnations that a node takes to have ended at the end of the run
   * @param workLeft incarnations for which a node counts requests though it sent none
   */
  record Result(
      int sends,
      int misdirected,
      int newerThanHeld,
      int left,
      int wrongAtTheEnd,
      int wronglyOver,
      int workLeft) {}

  private final class Engine {
    private final String id;
    private final InetSocketAddress address;
    private long startedAtMillis = START;
    private long weights = 1;
    private boolean up = true;

    Engine(int index) {
      id = "i-" + index;
      address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + index);
    }

    Incarnation incarnation() {
      return Incarnation.of(id, startedAtMillis);
    }

    Backend record() {
      return new Backend(
          incarnation(), "pool", address, "zone", "", 16, false, Map.of(MODEL, weights));
    }

    void crash() {
      up = false;
      // A write in progress takes effect late, perhaps after the first write of the next
      // incarnation.
      if (random.nextInt(3) == 0) {
        Backend late = record();
        time.schedule(millis(500, 2_500), () -> write(late));
      }
      time.schedule(millis(100, 1_500), this::startAgain);
    }

    private void startAgain() {
      long skew = random.nextInt(8) == 0 ? -random.nextInt((int) MAX_SKEW_MILLIS) : 0;
      startedAtMillis = Math.max(START, START + time.monotonicMillis() + skew);
      weights = random.nextInt(4) == 0 ? Math.max(1, weights - 1) : weights;
      up = true;
      write(record());
    }

    void heartbeat() {
      if (up) {
        write(record());
      }
      time.schedule(HEARTBEAT_MILLIS * 1_000, this::heartbeat);
    }

    void load(long version) {
      if (up) {
        weights = Math.max(weights, version);
        write(record());
      }
    }
  }

  private final class Node implements EngineControl {
    private final IncarnationOrder order = new IncarnationOrder();
    private final IncarnationMonitor monitor;
    private BackendTable table = BackendTable.EMPTY;
    private boolean isolated;

    Node() {
      monitor =
          new IncarnationMonitor(
              new VirtualExecutor(time),
              this,
              () -> table,
              incarnation -> broadcast(this, incarnation),
              time);
    }

    void read() {
      if (!isolated) {
        BackendTable before = table;
        List<Backend> current =
            order.selectRecords(
                List.copyOf(rows.values()),
                known -> {
                  TrackedBackend tracked = before.find(known.id());
                  return tracked != null && tracked.hasEnded();
                },
                time.monotonicMillis());
        table = before.with(current);
        countReturns(before);
      }
      time.schedule(millis(150, 400), this::read);
    }

    /** Counts the returns to an earlier incarnation, which a late write must not cause. */
    private void countReturns(BackendTable before) {
      for (Engine engine : engines) {
        TrackedBackend known = before.resolve(engine.id);
        TrackedBackend now = table.resolve(engine.id);
        boolean wasServing =
            known != null
                && engine.up
                && known.backend().incarnation().equals(engine.incarnation());
        if (wasServing
            && now != null
            && now.backend().incarnation().isBefore(engine.incarnation())) {
          returns++;
        }
      }
    }

    /**
     * Sends as the request path does: to an incarnation that has not ended, expecting the weights
     * that it holds.
     */
    void send(Engine engine) {
      TrackedBackend target = table.resolve(engine.id);
      if (target == null || target.hasEnded()) {
        return;
      }
      sends++;
      Long expected = target.weightsOf(MODEL);
      if (!engine.up) {
        return;
      }
      if (expected != null && expected != engine.weights) {
        misdirected++;
        monitor.misdirected(target, MODEL, expected);
      } else {
        target.observeWeights(MODEL, engine.weights);
        newerThanHeld += expected == null ? 1 : 0;
      }
    }

    @Override
    public CompletableFuture<EngineState> state(Backend backend) {
      Engine engine = engines.get(Integer.parseInt(backend.incarnation().server().substring(2)));
      if (!engine.up || isolated) {
        return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
      }
      return CompletableFuture.completedFuture(
          new EngineState(engine.incarnation(), Map.of(MODEL, engine.weights), false, 0));
    }

    @Override
    public CompletableFuture<OrderOutcome> load(Backend engine, LoadOrder loadOrder) {
      throw new UnsupportedOperationException();
    }
  }

  private final Random random;
  private final VirtualTime time = new VirtualTime();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Backend> rows = new HashMap<>();
  private int sends;
  private int misdirected;
  private int newerThanHeld;
  private int returns;
  private long newest = 1;

  IncarnationSimulation(long seed) {
    random = new Random(seed);
  }

  private long millis(int min, int max) {
    return (min + random.nextInt(max - min)) * 1_000L;
  }

  private void write(Backend record) {
    rows.put(record.incarnation().server(), record);
  }

  private void broadcast(Node sender, String incarnation) {
    for (Node receiver : nodes) {
      boolean arrives = !sender.isolated && !receiver.isolated && random.nextInt(50) > 0;
      if (receiver != sender && arrives) {
        time.schedule(millis(1, 20), () -> receiver.monitor.receive(List.of(incarnation)));
      }
    }
  }

  Result run() {
    for (int index = 0; index < ENGINES; index++) {
      Engine engine = new Engine(index);
      engines.add(engine);
      engine.heartbeat();
    }
    for (int index = 0; index < NODES; index++) {
      Node node = new Node();
      nodes.add(node);
      node.read();
    }
    time.schedule(0, this::request);
    time.schedule(1_000_000, this::crash);
    time.schedule(2_000_000, this::rollOutWeights);
    time.schedule(1_500_000, this::isolateNodes);
    time.runMillis(FAULTS_UNTIL_MILLIS + IncarnationOrder.STALE_RECORD_MILLIS + CONVERGENCE_MILLIS);
    return result();
  }

  private boolean areFaultsOver() {
    return time.monotonicMillis() > FAULTS_UNTIL_MILLIS;
  }

  private void request() {
    Node node = nodes.get(random.nextInt(NODES));
    if (!node.isolated) {
      node.send(engines.get(random.nextInt(ENGINES)));
    }
    time.schedule(1_000_000 / REQUESTS_PER_SECOND, this::request);
  }

  private void crash() {
    if (areFaultsOver()) {
      return;
    }
    for (Engine engine : engines) {
      if (engine.up && random.nextInt(4) == 0) {
        engine.crash();
      }
    }
    time.schedule(millis(1_000, 2_000), this::crash);
  }

  private void rollOutWeights() {
    if (areFaultsOver()) {
      return;
    }
    newest++;
    for (Engine engine : engines) {
      long version = newest;
      time.schedule(millis(600, 4_000), () -> engine.load(version));
    }
    time.schedule(millis(4_000, 6_000), this::rollOutWeights);
  }

  private void isolateNodes() {
    if (areFaultsOver()) {
      return;
    }
    for (Node node : nodes) {
      if (!node.isolated && random.nextInt(3) == 0) {
        node.isolated = true;
        time.schedule(millis(500, 3_000), () -> node.isolated = false);
      }
    }
    time.schedule(millis(2_000, 5_000), this::isolateNodes);
  }

  private Result result() {
    int wrong = 0;
    int wronglyOver = 0;
    int workLeft = 0;
    for (Node node : nodes) {
      for (Engine engine : engines) {
        TrackedBackend known = node.table.resolve(engine.id);
        boolean right = known != null && known.backend().incarnation().equals(engine.incarnation());
        wrong += right ? 0 : 1;
        wronglyOver += right && known.hasEnded() ? 1 : 0;
        workLeft += right && !known.load().work().isNone() ? 1 : 0;
      }
    }
    return new Result(sends, misdirected, newerThanHeld, returns, wrong, wronglyOver, workLeft);
  }
}
