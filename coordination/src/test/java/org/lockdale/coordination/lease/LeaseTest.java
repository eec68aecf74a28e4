package org.lockdale.coordination.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * The invariant of leases under delayed calls, lost answers, late effects and paused nodes: actions
 * of two nodes are never closer than the guard time, and fencing tokens never go back.
 */
public final class LeaseTest {

  private static final long DURATION = 1_500;
  private static final long GUARD = 3_000;
  private static final long RUN_MILLIS = 120_000;
  private static final int NODES = 4;
  private static final int SEEDS = 400;

  private record Event(long atMillis, long order, Runnable action) {}

  private record Action(int node, long atMillis, long fence) {}

  /** A store, nodes whose clocks have offsets, and calls that take and lose their time. */
  private static final class Simulation {
    private final Random random;
    private final long guard;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (left, right) ->
                left.atMillis() == right.atMillis()
                    ? Long.compare(left.order(), right.order())
                    : Long.compare(left.atMillis(), right.atMillis()));
    private final List<Action> actions = new ArrayList<>();
    private final long[] pausedUntil = new long[NODES];
    private final long[] clockOffset = new long[NODES];
    private final Lease[] leases = new Lease[NODES];
    private LeaseRow row;
    private long version;
    private long now;
    private long order;

    Simulation(long seed, long guard) {
      this.random = new Random(seed);
      this.guard = guard;
      for (int node = 0; node < NODES; node++) {
        leases[node] = new Lease("node-" + node, DURATION, guard);
        clockOffset[node] = random.nextInt(1_000_000);
        int started = node;
        at(random.nextInt(500), () -> tick(started));
      }
    }

    private void at(long millis, Runnable action) {
      events.add(new Event(millis, order++, action));
    }

    /** Another writer spoils the row from time to time; nobody can read it then. */
    Simulation spoiling() {
      at(3_000, this::spoil);
      return this;
    }

    private void spoil() {
      row = null;
      version++;
      at(now + 6_000 + random.nextInt(6_000), this::spoil);
    }

    List<Action> run() {
      while (!events.isEmpty() && now < RUN_MILLIS) {
        Event next = events.poll();
        now = next.atMillis();
        next.action().run();
      }
      return actions;
    }

    private long localTime(int node) {
      return now + clockOffset[node];
    }

    private long delay() {
      return random.nextInt(20) == 0 ? random.nextInt(4_000) : random.nextInt(30);
    }

    /** Runs on a node now, or once it is no longer paused. */
    private void onNode(int node, Runnable action) {
      if (pausedUntil[node] > now) {
        at(pausedUntil[node], () -> onNode(node, action));
      } else {
        action.run();
      }
    }

    private void tick(int node) {
      if (random.nextInt(60) == 0) {
        pausedUntil[node] = now + random.nextInt(6_000);
      }
      onNode(
          node,
          () -> {
            if (leases[node].mayAct(localTime(node))) {
              actions.add(new Action(node, now, leases[node].fence()));
            }
            read(node);
          });
      at(now + 100 + random.nextInt(200), () -> tick(node));
    }

    private void read(int node) {
      long asked = localTime(node);
      at(
          now + delay(),
          () -> {
            LeaseReading reading = new LeaseReading(row, version, now);
            at(now + delay(), () -> onNode(node, () -> readDone(node, reading, asked)));
          });
    }

    private void readDone(int node, LeaseReading reading, long asked) {
      leases[node].observed(reading, asked);
      Optional<LeaseRow> claim = leases[node].claim();
      if (claim.isEmpty()) {
        return;
      }
      long writeAsked = localTime(node);
      boolean answerLost = random.nextInt(10) == 0;
      at(
          now + delay(),
          () -> {
            if (version == reading.version()) {
              row = claim.get();
              version++;
              LeaseReading written = new LeaseReading(row, version, now);
              if (!answerLost) {
                at(
                    now + delay(),
                    () -> onNode(node, () -> leases[node].written(written, writeAsked)));
              }
            }
          });
    }

    /** Returns the first pair of actions that breaks the invariant, or null. */
    String violation() {
      for (int index = 1; index < actions.size(); index++) {
        Action before = actions.get(index - 1);
        Action after = actions.get(index);
        if (before.node() != after.node() && after.atMillis() - before.atMillis() < GUARD) {
          return before + " and " + after;
        }
        if (after.fence() < before.fence()) {
          return "the fence went back: " + before + " and " + after;
        }
      }
      return null;
    }
  }

  @Test
  public void holdersNeverActWithinTheGuardOfEachOther() {
    int acted = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, GUARD);
      acted += simulation.run().size();
      assertEquals(simulation.violation(), null, "seed " + seed);
    }
    assertTrue(acted > SEEDS * 100, "the lease was hardly ever held: " + acted);
  }

  @Test
  public void withoutTheGuardThereIsACounterexample() {
    boolean found = false;
    for (long seed = 0; seed < SEEDS && !found; seed++) {
      Simulation simulation = new Simulation(seed, 0);
      simulation.run();
      found = simulation.violation() != null;
    }
    assertTrue(found);
  }

  @Test
  public void anotherHoldersLeaseIsTakenOnlyAfterItsEndAndGuard() {
    Lease lease = new Lease("b", DURATION, GUARD);
    LeaseRow held = new LeaseRow("a", 1_000);
    lease.observed(new LeaseReading(held, 7, 1_000 + GUARD - 1), 0);
    assertTrue(lease.claim().isEmpty());
    assertEquals(lease.millisUntilFree(), 1);
    lease.observed(new LeaseReading(held, 7, 1_000 + GUARD), 0);
    assertEquals(lease.claim().orElseThrow().holder(), "b");
  }

  /**
   * A row that nobody could read failed each reading, so the lease was never taken over. It is free
   * a term and the guard after it was first read, for whoever held it before.
   */
  @Test
  public void aRowThatCannotBeReadIsTakenOverAfterTheLongestHold() {
    Lease lease = new Lease("b", DURATION, GUARD);
    lease.observed(new LeaseReading(new LeaseRow("a", 10_000), 7, 9_000), 0);
    lease.observed(new LeaseReading(null, 8, 9_500), 500);
    assertTrue(lease.claim().isEmpty());
    lease.observed(new LeaseReading(null, 8, 9_500 + DURATION + GUARD - 1), 5_000);
    assertTrue(lease.claim().isEmpty());
    assertEquals(lease.millisUntilFree(), 1);
    lease.observed(new LeaseReading(null, 8, 9_500 + DURATION + GUARD), 5_001);
    assertEquals(lease.claim().orElseThrow().holder(), "b");
    assertEquals(lease.expectedVersion(), 8);
  }

  @Test
  public void aHolderWhoseRowIsSpoiltCeases() {
    Lease lease = new Lease("a", DURATION, GUARD);
    lease.written(new LeaseReading(new LeaseRow("a", 10_000), 7, 9_000), 0);
    assertTrue(lease.mayAct(100));
    lease.observed(new LeaseReading(null, 8, 9_100), 100);
    assertFalse(lease.mayAct(100));
  }

  @Test
  public void rowsThatAreSpoiltLetNoTwoHoldersActAndStopNobodyForEver() {
    for (long seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, GUARD).spoiling();
      List<Action> actions = simulation.run();
      assertEquals(simulation.violation(), null, "seed " + seed);
      long last = actions.get(actions.size() - 1).atMillis();
      assertTrue(last > RUN_MILLIS - 20_000, "seed " + seed + ": nobody since " + last);
    }
  }

  @Test
  public void aHolderStopsBeforeTheEndThatItWrote() {
    Lease lease = new Lease("a", DURATION, GUARD);
    lease.observed(new LeaseReading(null, 0, 10_000), 0);
    LeaseRow claim = lease.claim().orElseThrow();
    lease.written(new LeaseReading(claim, 1, 10_010), 5);
    assertTrue(lease.mayAct(100));
    assertFalse(lease.mayAct(DURATION));
    lease.lost();
    assertFalse(lease.mayAct(100));
  }
}
