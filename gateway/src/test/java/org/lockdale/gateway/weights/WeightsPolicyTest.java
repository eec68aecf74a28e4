package org.lockdale.gateway.weights;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.testng.annotations.Test;

/** Checks which weights may serve, which engines move, and when. */
public final class WeightsPolicyTest {

  private static final long BOUND = 8_000;
  private static final String MODEL = "model";

  private static Backend engine(String id, long version, boolean draining) {
    return new Backend(
        id,
        "pool",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        "zone",
        4,
        draining,
        Map.of(MODEL, version));
  }

  private static BackendTable table(Backend... engines) {
    return BackendTable.EMPTY.with(List.of(engines));
  }

  @Test
  public void oldWeightsMayServeUntilShortlyBeforeTheBound() {
    WeightsPolicy policy = new WeightsPolicy(BOUND);
    TargetWeights weights = TargetWeights.NONE.with(Map.of(MODEL, 2L), 1_000);
    assertNull(policy.requiredVersion(weights, MODEL, 1_000));
    assertNull(policy.requiredVersion(weights, MODEL, 1_000 + BOUND - 1_000));
    assertEquals(policy.requiredVersion(weights, MODEL, 1_000 + BOUND), Long.valueOf(2));
  }

  @Test
  public void theAgeOfEachVersionIsMeasuredFromItsOwnTime() {
    WeightsPolicy policy = new WeightsPolicy(BOUND);
    TargetWeights weights =
        TargetWeights.NONE.with(Map.of(MODEL, 2L), 0).with(Map.of(MODEL, 3L), 5_000);
    assertEquals(policy.requiredVersion(weights, MODEL, BOUND), Long.valueOf(2));
    assertEquals(policy.requiredVersion(weights, MODEL, 5_000 + BOUND), Long.valueOf(3));
  }

  @Test
  public void enginesMoveStraightToTheNewestAndTheOldestFirst() {
    TargetWeights weights = TargetWeights.NONE.with(Map.of(MODEL, 5L), 0);
    List<WeightsPolicy.Move> moves =
        WeightsPolicy.moves(
            weights,
            table(
                engine("newer", 4, false),
                engine("oldest", 1, false),
                engine("current", 5, false),
                engine("draining", 1, true)));
    List<String> order = new ArrayList<>();
    moves.forEach(move -> order.add(move.engine().backend().id()));
    assertEquals(order, List.of("oldest", "newer"));
    assertTrue(moves.stream().allMatch(move -> move.version() == 5));
  }

  @Test
  public void aVersionReportedInAResponseCountsAsMuchAsTheRecord() {
    TargetWeights weights = TargetWeights.NONE.with(Map.of(MODEL, 2L), 0);
    BackendTable table = table(engine("i", 1, false));
    table.all().iterator().next().observeWeights(MODEL, 2);
    assertTrue(WeightsPolicy.moves(weights, table).isEmpty());
    BackendTable later = table.with(List.of(engine("i", 1, false)));
    assertTrue(WeightsPolicy.moves(weights, later).isEmpty(), "the record may be outdated");
  }

  @Test
  public void aRolloutStartsOnceNoNewerVersionFollows() {
    WeightsPolicy policy = new WeightsPolicy(BOUND);
    BackendTable engines = table(engine("a", 1, false));
    TargetWeights weights = TargetWeights.NONE.with(Map.of(MODEL, 2L), 1_000);
    long first = policy.plannedStart(weights, WeightsPolicy.moves(weights, engines), 1);
    assertTrue(first > 1_000 && first < 2_000, "soon after it was set");
    TargetWeights newer = weights.with(Map.of(MODEL, 3L), 1_500);
    long second = policy.plannedStart(newer, WeightsPolicy.moves(newer, engines), 1);
    assertEquals(second, first + 500);
  }

  @Test
  public void versionsThatFollowEachOtherDelayARolloutNoLongerThanTheBoundAllows() {
    WeightsPolicy policy = new WeightsPolicy(BOUND);
    BackendTable engines = table(engine("a", 1, false));
    TargetWeights weights = TargetWeights.NONE;
    for (int version = 2; version < 30; version++) {
      weights = weights.with(Map.of(MODEL, (long) version), version * 500L);
    }
    List<WeightsPolicy.Move> moves = WeightsPolicy.moves(weights, engines);
    assertEquals(policy.plannedStart(weights, moves, 1), policy.latestStart(weights, moves, 1));
  }

  @Test
  public void moreRoundsMeanAnEarlierStart() {
    WeightsPolicy policy = new WeightsPolicy(BOUND);
    TargetWeights weights = TargetWeights.NONE.with(Map.of(MODEL, 2L), 0);
    List<WeightsPolicy.Move> one = WeightsPolicy.moves(weights, table(engine("a", 1, false)));
    List<WeightsPolicy.Move> three =
        WeightsPolicy.moves(
            weights, table(engine("a", 1, false), engine("b", 1, false), engine("c", 1, false)));
    assertTrue(policy.latestStart(weights, three, 1) < policy.latestStart(weights, one, 1));
    assertEquals(policy.latestStart(weights, three, 3), policy.latestStart(weights, one, 1));
  }
}
