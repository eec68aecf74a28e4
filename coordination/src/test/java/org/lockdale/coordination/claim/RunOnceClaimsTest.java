package org.lockdale.coordination.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.simulation.SimulatedTables;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.coordination.table.TableRow;
import org.lockdale.coordination.table.TableService;
import org.lockdale.protocol.generated.ClaimRecord;
import org.lockdale.protocol.generated.ClaimState;
import org.testng.annotations.Test;

/**
 * Tests that at most one of several attempts with the same key runs, and that an attempt reported
 * as not run never does. Replies of the table service are lost, its writes take effect late, and
 * nodes crash before or after the run.
 */
public final class RunOnceClaimsTest {

  private static final int SEEDS = 2_000;
  private static final int CONTENDERS = 6;
  private static final int FAULT_PER_MILLE = 150;
  private static final long RUN_MILLIS = 120_000;
  private static final long SPREAD_MICROS = 4_000_000;
  private static final String KEY = "key";

  /** A simulation of several contenders for one key. */
  private static final class Contest {
    final VirtualTime time = new VirtualTime();
    final UniformRandomProvider random;
    final RunOnceClaims claims;
    final List<String> ran = new ArrayList<>();
    final Set<String> reportedNotRun = new HashSet<>();
    int complete;

    Contest(long seed, boolean conditional) {
      random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      SimulatedTables tables = new SimulatedTables(time, random);
      tables.setFaultPerMille(FAULT_PER_MILLE);
      claims = new RunOnceClaims(conditional ? tables : new UnconditionalTables(tables), time);
    }

    void run() {
      for (int contender = 0; contender < CONTENDERS; contender++) {
        String attempt = "attempt-" + contender;
        time.schedule(random.nextLong(SPREAD_MICROS), () -> contend(attempt));
      }
      time.runMillis(RUN_MILLIS);
    }

    void contend(String attempt) {
      ClaimRecord record =
          new ClaimRecord(
              attempt,
              "node",
              "engine",
              "life",
              7L,
              ClaimState.CLAIMED,
              time.wallMillis(),
              0,
              "",
              ByteBuffer.allocate(0));
      claims
          .claim(KEY, record)
          .whenComplete(
              (decision, failure) -> {
                if (failure != null) {
                  reportedNotRun.add(attempt);
                  retryAbandon(record);
                } else if (decision instanceof ClaimDecision.Granted granted) {
                  useClaim(attempt, granted.claim());
                } else if (decision instanceof ClaimDecision.AlreadyComplete) {
                  complete++;
                }
              });
    }

    void retryAbandon(ClaimRecord record) {
      claims
          .abandon(KEY, record)
          .whenComplete(
              (claim, failure) -> {
                if (failure != null) {
                  time.schedule(500_000, () -> retryAbandon(record));
                }
              });
    }

    /**
     * The engine rejects the attempt, the node crashes before or after the run, or all succeeds.
     */
    void useClaim(String attempt, HeldClaim claim) {
      switch (random.nextInt(4)) {
        case 0 -> {
          reportedNotRun.add(attempt);
          claims.release(claim);
        }
        case 1 -> {
          // The node crashes before it dispatches the attempt.
        }
        case 2 -> ran.add(attempt);
        default -> {
          ran.add(attempt);
          claims.complete(claim, 200, "text", new byte[] {1});
        }
      }
    }
  }

  /** A faulty table service that reports every failed creation of a row as successful. */
  private record UnconditionalTables(TableService tables) implements TableService {
    @Override
    public CompletableFuture<Optional<TableRow>> read(String table, String key) {
      return tables.read(table, key);
    }

    @Override
    public CompletableFuture<TableRow> create(String table, String key, byte[] value) {
      return tables
          .create(table, key, value)
          .exceptionallyCompose(
              failure -> CompletableFuture.completedFuture(new TableRow(value, 1)));
    }

    @Override
    public CompletableFuture<TableRow> replace(
        String table, String key, byte[] value, long expectedVersion) {
      return tables.replace(table, key, value, expectedVersion);
    }
  }

  /** At most one attempt runs, and none that was reported as not run. */
  @Test
  public void atMostOneAttemptRuns() {
    int answeredRepeats = 0;
    int runs = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Contest contest = new Contest(seed, true);
      contest.run();
      assertTrue(contest.ran.size() <= 1, "seed " + seed + " ran " + contest.ran);
      for (String attempt : contest.ran) {
        assertTrue(!contest.reportedNotRun.contains(attempt), "seed " + seed + " " + attempt);
      }
      answeredRepeats += contest.complete;
      runs += contest.ran.size();
    }
    assertTrue(answeredRepeats > 0, "no repeat got the stored response");
    assertTrue(runs > SEEDS / 2, "too few attempts ran: " + runs);
  }

  /** Verifies that the simulation detects a fault: without conditional writes two attempts run. */
  @Test
  public void withoutTheConditionTwoRun() {
    int violations = 0;
    for (long seed = 1; seed <= 50; seed++) {
      Contest contest = new Contest(seed, false);
      contest.run();
      violations += contest.ran.size() > 1 ? 1 : 0;
    }
    assertTrue(violations > 0);
  }

  /** A key that was used with one request body is rejected with another one. */
  @Test
  public void aKeyIsValidForOneBodyOnly() {
    Contest contest = new Contest(1, true);
    ClaimRecord first =
        new ClaimRecord(
            "a", "n", "e", "l", 1L, ClaimState.CLAIMED, 0L, 0, "", ByteBuffer.allocate(0));
    ClaimRecord second = first.copy();
    second.setAttemptId("b");
    second.setRequestFingerprint(2L);
    List<ClaimDecision> decisions = new ArrayList<>();
    RunOnceClaims claims =
        new RunOnceClaims(new SimulatedTables(contest.time, contest.random), contest.time);
    claims.claim(KEY, first).thenAccept(decisions::add);
    contest.time.runMillis(1_000);
    claims.claim(KEY, second).thenAccept(decisions::add);
    contest.time.runMillis(1_000);
    assertTrue(decisions.get(0) instanceof ClaimDecision.Granted);
    assertEquals(decisions.get(1), new ClaimDecision.KeyReused());
  }
}
