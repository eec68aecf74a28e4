package org.lockdale.coordination.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.lockdale.coordination.table.StoreVersion;
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
    private final List<LeaseReading> copies = new ArrayList<>();
    private final long[] eraSeen = new long[NODES];
    private final long[] eraSeenAt = new long[NODES];
    private long era;
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

    /** The store comes back from copies of one to ten seconds before, also twice in a row. */
    Simulation comingBackFromCopies() {
      at(500, this::copy);
      at(5_000, this::comeBack);
      return this;
    }

    private void copy() {
      copies.add(new LeaseReading(row, version, now));
      at(now + 500, this::copy);
    }

    private void comeBack() {
      LeaseReading copy = copies.get(Math.max(0, copies.size() - 2 - random.nextInt(18)));
      row = copy.row();
      version = copy.version();
      era++;
      copies.clear();
      copy();
      at(now + (random.nextInt(3) == 0 ? 800 : 8_000 + random.nextInt(8_000)), this::comeBack);
    }

    private long historyAge(int node) {
      return eraSeen[node] == 0 ? Long.MAX_VALUE : now - eraSeenAt[node];
    }

    /** Returns whether an answer is taken; one of a former history that comes late is not. */
    private boolean takes(int node, long answered) {
      if (answered > eraSeen[node]) {
        eraSeen[node] = answered;
        eraSeenAt[node] = now;
      }
      return answered == eraSeen[node];
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
            LeaseReading reading = reading();
            at(now + delay(), () -> onNode(node, () -> readDone(node, reading, asked)));
          });
    }

    private LeaseReading reading() {
      return new LeaseReading(row, new StoreVersion(era, version).packed(), now);
    }

    private LeaseReading asReadBy(int node, LeaseReading answer) {
      return new LeaseReading(
          answer.row(), answer.version(), answer.storeMillis(), historyAge(node));
    }

    private void readDone(int node, LeaseReading answer, long asked) {
      if (!takes(node, StoreVersion.ofPacked(answer.version()).era())) {
        return;
      }
      LeaseReading reading = asReadBy(node, answer);
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
            // The store compares numbers, which are given out again in a later era.
            StoreVersion expected = StoreVersion.ofPacked(reading.version());
            if (version == expected.number()) {
              row = claim.get();
              version++;
              LeaseReading written = reading();
              boolean sameEra = era == expected.era();
              if (!answerLost) {
                at(
                    now + delay(),
                    () -> onNode(node, () -> writeDone(node, written, sameEra, writeAsked)));
              }
            }
          });
    }

    private void writeDone(int node, LeaseReading answer, boolean sameEra, long asked) {
      if (takes(node, StoreVersion.ofPacked(answer.version()).era()) && sameEra) {
        leases[node].written(asReadBy(node, answer), asked);
      }
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

  /**
   * A store that came back from an older copy gives versions out again: with these alone a lease
   * that had been read at version 100 was taken by nobody until the store had passed 100 again.
   */
  @Test
  public void aStoreThatComesBackFromCopiesLetsNoTwoHoldersActAndFencesOnlyRise() {
    int acted = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, GUARD).comingBackFromCopies();
      acted += simulation.run().size();
      assertEquals(simulation.violation(), null, "seed " + seed);
    }
    assertTrue(acted > SEEDS * 50, "the lease was hardly ever held: " + acted);
  }

  @Test
  public void aRowThatIsGoneWithItsHistoryIsTakenOnceFormerHoldsHaveEnded() {
    Lease lease = new Lease("b", DURATION, GUARD);
    lease.observed(new LeaseReading(new LeaseRow("a", 10_000), 100, 9_000), 0);
    long none = new StoreVersion(1, 0).packed();
    lease.observed(new LeaseReading(null, none, 9_500, 0), 500);
    assertTrue(lease.claim().isEmpty());
    assertEquals(lease.millisUntilFree(), DURATION + GUARD);
    lease.observed(new LeaseReading(null, none, 14_000, DURATION + GUARD), 5_000);
    assertEquals(lease.claim().orElseThrow().holder(), "b");
    assertEquals(lease.expectedVersion(), none);
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
