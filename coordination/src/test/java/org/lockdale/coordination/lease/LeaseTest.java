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
 * Tests the invariant of leases under delayed calls, lost replies, late effects and paused nodes:
 * actions of two nodes are separated by at least the guard time, and fencing tokens never decrease.
 */
public final class LeaseTest {

  private static final long DURATION = 1_500;
  private static final long GUARD = 3_000;
  private static final long RUN_MILLIS = 120_000;
  private static final int NODES = 4;
  private static final int SEEDS = 400;

  private record Event(long atMillis, long order, Runnable action) {}

  private record Action(int node, long atMillis, long fence) {}

  /**
   * A store and nodes with clock offsets and pauses, whose calls are delayed and may lose replies.
   */
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
    private final long[] knownEra = new long[NODES];
    private final long[] knownEraSince = new long[NODES];
    private long era;
    private long now;
    private long order;

    Simulation(long seed, long guard) {
      this.random = new Random(seed);
      this.guard = guard;
      for (int node = 0; node < NODES; node++) {
        leases[node] = new Lease("node-" + node, DURATION, guard);
        clockOffset[node] = random.nextInt(1_000_000);
        int startingNode = node;
        at(random.nextInt(500), () -> tick(startingNode));
      }
    }

    private void at(long millis, Runnable action) {
      events.add(new Event(millis, order++, action));
    }

    /** Adds a writer that repeatedly replaces the row by contents that can't be read. */
    Simulation withUnreadableRows() {
      at(3_000, this::makeRowUnreadable);
      return this;
    }

    private void makeRowUnreadable() {
      row = null;
      version++;
      at(now + 6_000 + random.nextInt(6_000), this::makeRowUnreadable);
    }

    /** Adds restores of the store from copies one to ten seconds old, some in quick succession. */
    Simulation withRestores() {
      at(500, this::copy);
      at(5_000, this::restore);
      return this;
    }

    private void copy() {
      copies.add(new LeaseReading(row, version, now));
      at(now + 500, this::copy);
    }

    private void restore() {
      LeaseReading copy = copies.get(Math.max(0, copies.size() - 2 - random.nextInt(18)));
      row = copy.row();
      version = copy.version();
      era++;
      copies.clear();
      copy();
      at(now + (random.nextInt(3) == 0 ? 800 : 8_000 + random.nextInt(8_000)), this::restore);
    }

    private long historyAge(int node) {
      return knownEra[node] == 0 ? Long.MAX_VALUE : now - knownEraSince[node];
    }

    /** Returns whether a reply is processed; late replies of an earlier era are ignored. */
    private boolean acceptsEra(int node, long replyEra) {
      if (replyEra > knownEra[node]) {
        knownEra[node] = replyEra;
        knownEraSince[node] = now;
      }
      return replyEra == knownEra[node];
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

    /** Runs an action on a node now, or after its pause. */
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
              actions.add(new Action(node, now, leases[node].fencingToken()));
            }
            read(node);
          });
      at(now + 100 + random.nextInt(200), () -> tick(node));
    }

    private void read(int node) {
      long requestedAt = localTime(node);
      at(
          now + delay(),
          () -> {
            LeaseReading reading = reading();
            at(now + delay(), () -> onNode(node, () -> readDone(node, reading, requestedAt)));
          });
    }

    private LeaseReading reading() {
      return new LeaseReading(row, new StoreVersion(era, version).packed(), now);
    }

    private LeaseReading asReadBy(int node, LeaseReading reply) {
      return new LeaseReading(reply.row(), reply.version(), reply.storeMillis(), historyAge(node));
    }

    private void readDone(int node, LeaseReading reply, long requestedAt) {
      if (!acceptsEra(node, StoreVersion.ofPacked(reply.version()).era())) {
        return;
      }
      LeaseReading reading = asReadBy(node, reply);
      leases[node].recordRead(reading, requestedAt);
      Optional<LeaseRow> claim = leases[node].claim();
      if (claim.isEmpty()) {
        return;
      }
      long writeRequestedAt = localTime(node);
      boolean replyLost = random.nextInt(10) == 0;
      at(
          now + delay(),
          () -> {
            // The store compares only numbers, which it assigns again in a later era.
            StoreVersion expected = StoreVersion.ofPacked(reading.version());
            if (version == expected.number()) {
              row = claim.get();
              version++;
              LeaseReading written = reading();
              boolean sameEra = era == expected.era();
              if (!replyLost) {
                at(
                    now + delay(),
                    () -> onNode(node, () -> writeDone(node, written, sameEra, writeRequestedAt)));
              }
            }
          });
    }

    private void writeDone(int node, LeaseReading reply, boolean sameEra, long requestedAt) {
      if (acceptsEra(node, StoreVersion.ofPacked(reply.version()).era()) && sameEra) {
        leases[node].recordWrite(asReadBy(node, reply), requestedAt);
      }
    }

    /** Returns a description of the first violation of the invariant, or null if there is none. */
    String violation() {
      for (int index = 1; index < actions.size(); index++) {
        Action before = actions.get(index - 1);
        Action after = actions.get(index);
        if (before.node() != after.node() && after.atMillis() - before.atMillis() < GUARD) {
          return before + " and " + after;
        }
        if (after.fence() < before.fence()) {
          return "the fencing token decreased: " + before + " and " + after;
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
  public void withoutTheGuardTheInvariantIsViolated() {
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
    lease.recordRead(new LeaseReading(held, 7, 1_000 + GUARD - 1), 0);
    assertTrue(lease.claim().isEmpty());
    assertEquals(lease.millisUntilFree(), 1);
    lease.recordRead(new LeaseReading(held, 7, 1_000 + GUARD), 0);
    assertEquals(lease.claim().orElseThrow().holder(), "b");
  }

  /**
   * Guards against an unreadable row that makes each reading fail, so that the lease is never taken
   * over. Any earlier hold has ended one term after the row was first read as unreadable, so the
   * lease is free after this term and the guard time.
   */
  @Test
  public void aRowThatCannotBeReadIsTakenOverAfterTheLongestHold() {
    Lease lease = new Lease("b", DURATION, GUARD);
    lease.recordRead(new LeaseReading(new LeaseRow("a", 10_000), 7, 9_000), 0);
    lease.recordRead(new LeaseReading(null, 8, 9_500), 500);
    assertTrue(lease.claim().isEmpty());
    lease.recordRead(new LeaseReading(null, 8, 9_500 + DURATION + GUARD - 1), 5_000);
    assertTrue(lease.claim().isEmpty());
    assertEquals(lease.millisUntilFree(), 1);
    lease.recordRead(new LeaseReading(null, 8, 9_500 + DURATION + GUARD), 5_001);
    assertEquals(lease.claim().orElseThrow().holder(), "b");
    assertEquals(lease.expectedVersion(), 8);
  }

  @Test
  public void aHolderStopsWhenItsRowBecomesUnreadable() {
    Lease lease = new Lease("a", DURATION, GUARD);
    lease.recordWrite(new LeaseReading(new LeaseRow("a", 10_000), 7, 9_000), 0);
    assertTrue(lease.mayAct(100));
    lease.recordRead(new LeaseReading(null, 8, 9_100), 100);
    assertFalse(lease.mayAct(100));
  }

  @Test
  public void unreadableRowsViolateNoGuardAndBlockTheLeaseForAWhileOnly() {
    for (long seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, GUARD).withUnreadableRows();
      List<Action> actions = simulation.run();
      assertEquals(simulation.violation(), null, "seed " + seed);
      long last = actions.get(actions.size() - 1).atMillis();
      assertTrue(last > RUN_MILLIS - 20_000, "seed " + seed + ": no node acted after " + last);
    }
  }

  /**
   * A store that is restored from an older copy assigns versions again. If only these were
   * compared, a lease that was read at version 100 would not be taken by any node until the store
   * reached 100 again.
   */
  @Test
  public void restoresOfTheStoreViolateNoGuardAndFencingTokensNeverDecrease() {
    int acted = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed, GUARD).withRestores();
      acted += simulation.run().size();
      assertEquals(simulation.violation(), null, "seed " + seed);
    }
    assertTrue(acted > SEEDS * 50, "the lease was hardly ever held: " + acted);
  }

  @Test
  public void aRowLostInARestoreIsTakenAfterFormerHoldsHaveEnded() {
    Lease lease = new Lease("b", DURATION, GUARD);
    lease.recordRead(new LeaseReading(new LeaseRow("a", 10_000), 100, 9_000), 0);
    long none = new StoreVersion(1, 0).packed();
    lease.recordRead(new LeaseReading(null, none, 9_500, 0), 500);
    assertTrue(lease.claim().isEmpty());
    assertEquals(lease.millisUntilFree(), DURATION + GUARD);
    lease.recordRead(new LeaseReading(null, none, 14_000, DURATION + GUARD), 5_000);
    assertEquals(lease.claim().orElseThrow().holder(), "b");
    assertEquals(lease.expectedVersion(), none);
  }

  @Test
  public void aHolderStopsBeforeTheEndThatItWrote() {
    Lease lease = new Lease("a", DURATION, GUARD);
    lease.recordRead(new LeaseReading(null, 0, 10_000), 0);
    LeaseRow claim = lease.claim().orElseThrow();
    lease.recordWrite(new LeaseReading(claim, 1, 10_010), 5);
    assertTrue(lease.mayAct(100));
    assertFalse(lease.mayAct(DURATION));
    lease.relinquish();
    assertFalse(lease.mayAct(100));
  }
}
