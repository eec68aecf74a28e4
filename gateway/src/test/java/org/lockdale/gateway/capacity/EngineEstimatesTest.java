package org.lockdale.gateway.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks what is published at relays and at nodes that are told by relays. */
public final class EngineEstimatesTest {

  private static final List<String> ENGINES = List.of("i-1", "i-2", "i-3");

  private final BackendTable backends = backends();
  private BackendWork work;
  private boolean loading;
  private EngineEstimates estimates;

  private static BackendTable backends() {
    List<Backend> engines = new ArrayList<>();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    for (String id : ENGINES) {
      engines.add(new Backend(id, "pool", address, "zone", 4, false, Map.of("model", 1L)));
    }
    return BackendTable.EMPTY.with(engines);
  }

  @BeforeMethod
  public void create() {
    work = new BackendWork(0, 5_000, 2);
    loading = false;
    estimates = new EngineEstimates(true, engine -> work, engine -> loading);
  }

  private EngineCapacity capacity(String engine) {
    TrackedBackend tracked = backends.find(engine);
    return estimates.table().of(tracked);
  }

  private void quiet(String engine, long millis, long now) {
    for (String node : List.of("n-1", "n-2")) {
      estimates.acceptUses(node, List.of(new EngineUse(engine, 2_000, 1, -1, millis)), now);
    }
  }

  private static EngineCapacity told(double speed, double slowdown) {
    return new EngineCapacity(7_000, speed, 20, 50, slowdown, false, 100);
  }

  @Test
  public void nothingIsKnownAtFirst() {
    assertEquals(capacity("i-1"), EngineCapacity.UNKNOWN);
    estimates.update(backends, true, 1_000);
    assertEquals(capacity("i-1"), EngineCapacity.UNKNOWN);
  }

  @Test
  public void aRelayTellsSilenceAndTheTokensOfAllNodes() {
    quiet("i-1", 650, 1_000);
    EngineEstimates.Changes changes = estimates.update(backends, true, 1_000);
    assertEquals(changes.silent(), List.of("i-1"));
    assertTrue(capacity("i-1").silent());
    assertEquals(capacity("i-1").reservedTokens(), 4_000);
    assertFalse(capacity("i-2").silent());
    estimates.acceptUses("n-1", List.of(new EngineUse("i-1", 0, 0, 5, -1)), 1_100);
    assertEquals(estimates.update(backends, true, 1_100).heard(), List.of("i-1"));
  }

  /** Guards against an engine that counts as silent while it computes long prompts only. */
  @Test
  public void longPromptsWithoutRunningStreamsMayTakeLonger() {
    work = new BackendWork(40_000, 0, 2);
    quiet("i-1", 2_000, 1_000);
    estimates.update(backends, true, 1_000);
    assertFalse(capacity("i-1").silent());
    quiet("i-1", 2_700, 1_700);
    estimates.update(backends, true, 1_700);
    assertTrue(capacity("i-1").silent());
  }

  /** Guards against judging servers without streams before their usual time is known. */
  @Test
  public void backendsWithoutPromptsAreJudgedOnlyByKnownTimes() {
    work = new BackendWork(0, 0, 2);
    quiet("i-1", 1_900, 1_000);
    estimates.update(backends, true, 1_000);
    assertFalse(capacity("i-1").silent());
    AttemptTiming call = new AttemptTiming("i-2", 0, 0, 1, 300, -1, -1);
    estimates.acceptTimings(List.of(call, call, call), backends, 1_000);
    estimates.update(backends, true, 1_000);
    assertTrue(capacity("i-1").silent());
  }

  /** Guards against a rollout whose engines count as silent while they load weights. */
  @Test
  public void anEngineThatLoadsWeightsIsNotJudged() {
    loading = true;
    quiet("i-1", 900, 1_000);
    estimates.update(backends, true, 1_000);
    assertFalse(capacity("i-1").silent());
    loading = false;
    estimates.update(backends, true, 1_100);
    assertTrue(capacity("i-1").silent());
  }

  @Test
  public void nothingIsSilentWhereDetectionIsOff() {
    estimates = new EngineEstimates(false, engine -> work, engine -> loading);
    quiet("i-1", 5_000, 1_000);
    estimates.update(backends, true, 1_000);
    assertFalse(capacity("i-1").silent());
    assertEquals(capacity("i-1").reservedTokens(), 4_000);
  }

  /** Guards against notices that outlive the relay that sent them. */
  @Test
  public void aNodeFollowsTheNoticesOfItsRelayUntilTheyExpire() {
    estimates.acceptNotice("relay", Set.of("i-1", "i-2"), 1_000);
    estimates.update(backends, false, 1_000);
    assertTrue(capacity("i-1").silent());
    estimates.acceptNotice("relay", Set.of("i-2"), 1_500);
    estimates.update(backends, false, 1_500);
    assertFalse(capacity("i-1").silent());
    assertTrue(capacity("i-2").silent());
    assertFalse(estimates.table().isProbeDue(backends.find("i-2"), 3_000));
    estimates.update(backends, false, 1_500 + EngineEstimates.RECEIVED_VALID_MILLIS + 1);
    assertFalse(capacity("i-2").silent());
  }

  /** Guards against two relays that repeat each other's notices for ever. */
  @Test
  public void aRelayFollowsNoticesOfAnotherButTellsOnlyWhatItFinds() {
    estimates.acceptNotice("other-relay", Set.of("i-2"), 1_000);
    quiet("i-1", 650, 1_000);
    estimates.update(backends, true, 1_000);
    assertTrue(capacity("i-1").silent());
    assertTrue(capacity("i-2").silent());
    assertEquals(estimates.detected(), Set.of("i-1"));
    estimates.update(backends, false, 1_100);
    assertFalse(capacity("i-1").silent());
    assertEquals(estimates.detected(), Set.of());
  }

  @Test
  public void aNodeAloneKeepsTheSpeedsButNotTheSlowdownsThatItWasTold() {
    estimates.acceptSummary(Map.of("i-1", told(0.6, 2.5)), 1_000);
    estimates.update(backends, false, 1_500);
    assertEquals(capacity("i-1").currentSpeed(), 0.24, 0.001);
    assertEquals(capacity("i-1").reservedTokens(), 7_000);
    assertEquals(capacity("i-1").ageMillis(), 600);
    estimates.update(backends, false, 20_000);
    assertEquals(capacity("i-1").currentSpeed(), 0.6, 0.001);
    assertEquals(capacity("i-1").reservedTokens(), 0);
  }

  /** Guards against a probe for each request, and against none. */
  @Test
  public void anIdleSilentEngineIsTriedAtGrowingIntervals() {
    quiet("i-1", 650, 1_000);
    estimates.update(backends, true, 1_000);
    TrackedBackend engine = backends.find("i-1");
    List<Long> probes = new ArrayList<>();
    for (long now = 1_100; now < 15_000; now += 100) {
      for (String node : List.of("n-1", "n-2")) {
        estimates.acceptUses(node, List.of(new EngineUse("i-1", 0, 0, -1, -1)), now);
      }
      estimates.update(backends, true, now);
      if (estimates.table().isProbeDue(engine, now) && estimates.table().tryProbe(engine, now)) {
        probes.add(now);
        assertFalse(estimates.table().tryProbe(engine, now));
      }
    }
    assertEquals(probes, List.of(2_000L, 3_000L, 5_000L, 9_000L, 13_000L));
  }

  @Test
  public void aSummaryTellsOnlyWhatHasChanged() {
    CapacitySummaries summaries = new CapacitySummaries();
    Map<String, EngineCapacity> first = Map.of("i-1", told(1, 1), "i-2", told(0.6, 1));
    assertEquals(summaries.due(first, 1_000), first);
    Map<String, EngineCapacity> next = Map.of("i-1", told(1.02, 1), "i-2", told(0.6, 2.5));
    assertEquals(summaries.due(next, 3_000).keySet(), Set.of("i-2"));
    assertEquals(summaries.due(next, 40_000), next);
  }
}
