package org.lockdale.emulator.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.placement.CacheScope;
import org.lockdale.coordination.placement.PrefixChain;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the emulated engine, whose behavior the tests of the whole system rely on. */
public final class EngineModelTest {

  private static final int TOKENS_PER_BLOCK = 64;

  private final List<RunRecord> ran = new ArrayList<>();
  private final List<String> output = new ArrayList<>();
  private long nowMicros;
  private EngineModel engine;

  /** Creates an engine that runs one sequence at a time and caches twenty blocks. */
  @BeforeMethod
  public void create() {
    ran.clear();
    output.clear();
    nowMicros = 0;
    EngineSettings settings =
        new EngineSettings(
            "e1",
            "z1",
            Map.of(),
            Map.of("m", "v1"),
            1,
            2,
            2_048,
            10_000,
            20,
            150,
            20,
            250_000,
            200_000,
            500);
    engine =
        new EngineModel(
            settings,
            "incarnation-1",
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            () -> nowMicros,
            ran::add,
            new BlockHolderCounts());
  }

  private static EngineRequest request(String attempt, int blocks, int priority) {
    byte[] prompt = new byte[blocks * PrefixChain.BLOCK_BYTES];
    PrefixChain chain = PrefixChain.of(new CacheScope("t", "", "", ""), prompt);
    int tokens = Math.max(1, blocks * TOKENS_PER_BLOCK);
    return new EngineRequest(
        attempt, "incarnation-1", "m", "v1", "t|m|v1", chain, 7, tokens, 3, priority);
  }

  private EngineOutput recordingOutput(String attempt) {
    return new EngineOutput() {
      @Override
      public void onToken(int index, String text) {
        output.add(attempt + "#" + index);
      }

      @Override
      public void onFinished(EngineUsage usage) {
        output.add(attempt + " finished");
      }

      @Override
      public void onBroken(String reason) {
        output.add(attempt + " broken");
      }
    };
  }

  private SubmitResult submit(String attempt, int blocks, int priority) {
    return engine.submit(request(attempt, blocks, priority), recordingOutput(attempt));
  }

  private void runSteps(int steps) {
    for (int step = 0; step < steps; step++) {
      long micros = engine.startStep();
      if (micros < 0) {
        return;
      }
      nowMicros += micros;
      engine.completeStep();
    }
  }

  /** Requests of higher priority run first, and each response is complete. */
  @Test
  public void priorityDecides() {
    submit("low", 1, 1);
    submit("high", 1, 9);
    runSteps(100);
    assertEquals(
        output,
        List.of(
            "high#0",
            "high#1",
            "high#2",
            "high finished",
            "low#0",
            "low#1",
            "low#2",
            "low finished"));
  }

  /**
   * Requests that expect another incarnation or other weights, duplicates and requests to a full
   * queue are rejected and do not run.
   */
  @Test
  public void rejectedRequestsDoNotRun() {
    EngineRequest valid = request("a", 1, 1);
    EngineRequest otherIncarnation =
        new EngineRequest("b", "incarnation-0", "m", "v1", "o", valid.chain(), 7, 1, 1, 1);
    EngineRequest otherWeights =
        new EngineRequest("c", "incarnation-1", "m", "v0", "o", valid.chain(), 7, 1, 1, 1);
    assertEquals(
        engine.submit(otherIncarnation, recordingOutput("b")), SubmitResult.INCARNATION_MISMATCH);
    assertEquals(engine.submit(otherWeights, recordingOutput("c")), SubmitResult.WEIGHTS_MISMATCH);
    assertEquals(submit("a", 1, 1), SubmitResult.ACCEPTED);
    assertEquals(submit("a", 1, 1), SubmitResult.DUPLICATE_ATTEMPT);
    assertEquals(submit("d", 1, 1), SubmitResult.ACCEPTED);
    assertEquals(submit("e", 1, 1), SubmitResult.QUEUE_FULL);
    runSteps(100);
    assertEquals(ran.stream().map(RunRecord::attemptId).toList(), List.of("a", "d"));
  }

  /** A cancellation before the request arrives leaves a tombstone; one during the run stops it. */
  @Test
  public void cancelsAreKept() {
    assertEquals(engine.cancel("late"), AttemptFate.NEVER_STARTED);
    assertEquals(submit("late", 1, 1), SubmitResult.TOMBSTONED);
    submit("running", 1, 1);
    submit("queued", 1, 1);
    runSteps(1);
    assertEquals(engine.cancel("running"), AttemptFate.CANCELLED);
    assertEquals(engine.cancel("queued"), AttemptFate.NEVER_STARTED);
    runSteps(100);
    assertEquals(output, List.of("running#0", "running broken", "queued broken"));
    assertEquals(ran.size(), 1);
  }

  /** A stream can be resumed from any token. */
  @Test
  public void streamsCanBeResumed() {
    submit("a", 1, 1);
    runSteps(2);
    output.clear();
    assertTrue(engine.resume("a", 1, recordingOutput("again")));
    runSteps(100);
    assertEquals(output, List.of("again#1", "again#2", "again finished"));
    assertFalse(engine.resume("unknown", 0, recordingOutput("no")));
  }

  /** The second run of a prefix uses the cached blocks; the cache is bounded. */
  @Test
  public void theCacheIsBounded() {
    submit("first", 10, 1);
    runSteps(100);
    submit("second", 10, 1);
    runSteps(100);
    assertEquals(ran.get(0).cachedTokens(), 0);
    assertEquals(ran.get(1).cachedTokens(), 10 * TOKENS_PER_BLOCK - 1);
    submit("large", 40, 1);
    runSteps(100);
    assertEquals(engine.cachedPrefixLength(request("x", 40, 1).chain()), 20);
  }

  /** Cache events are delayed and partly lost; load reports lag. */
  @Test
  public void reportsAndEventsLag() {
    assertEquals(engine.loadReport().running(), 0);
    submit("a", 20, 1);
    engine.startStep();
    assertEquals(engine.loadReport().running(), 0, "the report is not old enough to be renewed");
    engine.completeStep();
    assertEquals(engine.cacheEventsAfter(0).size(), 0, "events are not published immediately");
    nowMicros += 250_000;
    assertEquals(engine.loadReport().running(), 1);
    int published = engine.cacheEventsAfter(0).size();
    assertTrue(published > 0 && published < 20, "of 20 events " + published + " were published");
  }

  /** An order with an older fencing token is rejected; a draining engine rejects requests. */
  @Test
  public void ordersAreFenced() {
    EngineOrder newer = new EngineOrder(7, EngineOrder.Action.LOAD_WEIGHTS, "m", "v2");
    EngineOrder older = new EngineOrder(6, EngineOrder.Action.LOAD_WEIGHTS, "m", "v1");
    assertTrue(engine.execute(newer));
    assertFalse(engine.execute(older));
    assertEquals(engine.weightsVersion("m"), "v2");
    assertTrue(engine.execute(new EngineOrder(8, EngineOrder.Action.LEAVE, "", "")));
    EngineRequest request = request("a", 1, 1);
    EngineRequest current =
        new EngineRequest("a", "incarnation-1", "m", "v2", "o", request.chain(), 7, 1, 1, 1);
    assertEquals(engine.submit(current, recordingOutput("a")), SubmitResult.LEAVING);
  }

  /** An imported block counts as cached and can be exported. */
  @Test
  public void blocksCanBeMoved() {
    PrefixChain chain = request("a", 2, 1).chain();
    assertNull(engine.exportBlock(chain.hashAt(0)));
    engine.importBlock(chain.hashAt(0), "t|m|v1");
    assertEquals(engine.exportBlock(chain.hashAt(0)), "t|m|v1");
    assertEquals(engine.cachedPrefixLength(chain), 1);
  }

  /** A reuse of a block for another owner is counted. */
  @Test
  public void foreignReuseIsCounted() {
    engine.importBlock(request("a", 2, 1).chain().hashAt(0), "another|m|v1");
    submit("a", 2, 1);
    runSteps(100);
    assertEquals(engine.foreignReuses(), 1);
  }
}
