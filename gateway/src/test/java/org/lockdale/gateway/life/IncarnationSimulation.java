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
 * Nodes that follow engines which start again under their ids every second or two, during rollouts.
 * Clocks of engines jump, nodes are cut off from the store and from each other, and writes of a
 * former life are carried out late. The order of lives, what shows their ends, and what is learned
 * of weights and work are the real code.
 */
final class IncarnationSimulation {

  static final int NODES = 100;
  static final int ENGINES = 64;

  /** Time after the last trouble from which on all nodes have to know which lives there are. */
  static final long CONTACT_MILLIS = 4_000;

  private static final String MODEL = "model";
  private static final long TROUBLE_MILLIS = 20_000;
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final long MAX_SKEW_MILLIS = 6_000;
  private static final int REQUESTS_A_SECOND = 300;
  private static final long START = 1_790_000_000_000L;

  /**
   * What came of it.
   *
   * @param sends requests sent
   * @param misdirected those that were turned away
   * @param newerThanHeld requests that were told to run on newer weights than a life holds, without
   *     an expected version
   * @param left times at which a node went from the life that serves back to a former one
   * @param wrongAtTheEnd beliefs of nodes that differ from the truth after the contact time
   * @param wronglyOver lives that serve and are taken for over at the end
   * @param workLeft requests counted at a life to which none was sent
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

    Incarnation life() {
      return Incarnation.of(id, startedAtMillis);
    }

    Backend record() {
      return new Backend(life(), "pool", address, "zone", 16, false, Map.of(MODEL, weights));
    }

    void end() {
      up = false;
      // A write that was on its way is carried out late, perhaps after the next life's first one.
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

    void beat() {
      if (up) {
        write(record());
      }
      time.schedule(HEARTBEAT_MILLIS * 1_000, this::beat);
    }

    void load(long version) {
      if (up) {
        weights = Math.max(weights, version);
        write(record());
      }
    }
  }

  private final class Node implements EngineControl {
    private final LifeOrder order = new LifeOrder();
    private final LifeWatch watch;
    private BackendTable table = BackendTable.EMPTY;
    private boolean cut;

    Node() {
      watch =
          new LifeWatch(
              new VirtualExecutor(time), this, () -> table, life -> tellAll(this, life), time);
    }

    void read() {
      if (!cut) {
        BackendTable before = table;
        List<Backend> current =
            order.order(
                List.copyOf(rows.values()),
                known -> {
                  TrackedBackend tracked = before.find(known.id());
                  return tracked != null && tracked.isOver();
                },
                time.monotonicMillis());
        table = before.with(current);
        countLeft(before);
      }
      time.schedule(millis(150, 400), this::read);
    }

    /** A late write of a former life must not bring it back. */
    private void countLeft(BackendTable before) {
      for (Engine engine : engines) {
        TrackedBackend known = before.named(engine.id);
        TrackedBackend now = table.named(engine.id);
        boolean served =
            known != null && engine.up && known.backend().incarnation().equals(engine.life());
        if (served && now != null && now.backend().incarnation().isBefore(engine.life())) {
          left++;
        }
      }
    }

    /** Sends as the request path does: to a life that is not over, expecting what it holds. */
    void send(Engine engine) {
      TrackedBackend target = table.named(engine.id);
      if (target == null || target.isOver()) {
        return;
      }
      sends++;
      Long expected = target.weightsOf(MODEL);
      if (!engine.up) {
        return;
      }
      if (expected != null && expected != engine.weights) {
        misdirected++;
        watch.misdirected(target, MODEL, expected);
      } else {
        target.observeWeights(MODEL, engine.weights);
        newerThanHeld += expected == null ? 1 : 0;
      }
    }

    @Override
    public CompletableFuture<EngineState> state(Backend backend) {
      Engine engine = engines.get(Integer.parseInt(backend.incarnation().server().substring(2)));
      if (!engine.up || cut) {
        return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
      }
      return CompletableFuture.completedFuture(
          new EngineState(engine.life(), Map.of(MODEL, engine.weights), false, 0));
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
  private int left;
  private long newest = 1;

  IncarnationSimulation(long seed) {
    random = new Random(seed);
  }

  private long millis(int least, int most) {
    return (least + random.nextInt(most - least)) * 1_000L;
  }

  private void write(Backend record) {
    rows.put(record.incarnation().server(), record);
  }

  private void tellAll(Node sender, String life) {
    for (Node receiver : nodes) {
      boolean arrives = !sender.cut && !receiver.cut && random.nextInt(50) > 0;
      if (receiver != sender && arrives) {
        time.schedule(millis(1, 20), () -> receiver.watch.told(List.of(life)));
      }
    }
  }

  Result run() {
    for (int index = 0; index < ENGINES; index++) {
      Engine engine = new Engine(index);
      engines.add(engine);
      engine.beat();
    }
    for (int index = 0; index < NODES; index++) {
      Node node = new Node();
      nodes.add(node);
      node.read();
    }
    time.schedule(0, this::request);
    time.schedule(1_000_000, this::crash);
    time.schedule(2_000_000, this::nameWeights);
    time.schedule(1_500_000, this::cut);
    time.runMillis(TROUBLE_MILLIS + LifeOrder.STALE_RECORD_MILLIS + CONTACT_MILLIS);
    return result();
  }

  private boolean isCalm() {
    return time.monotonicMillis() > TROUBLE_MILLIS;
  }

  private void request() {
    Node node = nodes.get(random.nextInt(NODES));
    if (!node.cut) {
      node.send(engines.get(random.nextInt(ENGINES)));
    }
    time.schedule(1_000_000 / REQUESTS_A_SECOND, this::request);
  }

  private void crash() {
    if (isCalm()) {
      return;
    }
    for (Engine engine : engines) {
      if (engine.up && random.nextInt(4) == 0) {
        engine.end();
      }
    }
    time.schedule(millis(1_000, 2_000), this::crash);
  }

  private void nameWeights() {
    if (isCalm()) {
      return;
    }
    newest++;
    for (Engine engine : engines) {
      long version = newest;
      time.schedule(millis(600, 4_000), () -> engine.load(version));
    }
    time.schedule(millis(4_000, 6_000), this::nameWeights);
  }

  private void cut() {
    if (isCalm()) {
      return;
    }
    for (Node node : nodes) {
      if (!node.cut && random.nextInt(3) == 0) {
        node.cut = true;
        time.schedule(millis(500, 3_000), () -> node.cut = false);
      }
    }
    time.schedule(millis(2_000, 5_000), this::cut);
  }

  private Result result() {
    int wrong = 0;
    int wronglyOver = 0;
    int workLeft = 0;
    for (Node node : nodes) {
      for (Engine engine : engines) {
        TrackedBackend believed = node.table.named(engine.id);
        boolean right = believed != null && believed.backend().incarnation().equals(engine.life());
        wrong += right ? 0 : 1;
        wronglyOver += right && believed.isOver() ? 1 : 0;
        workLeft += right && !believed.load().work().isNone() ? 1 : 0;
      }
    }
    return new Result(sends, misdirected, newerThanHeld, left, wrong, wronglyOver, workLeft);
  }
}
