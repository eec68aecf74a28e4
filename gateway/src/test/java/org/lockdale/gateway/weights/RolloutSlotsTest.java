package org.lockdale.gateway.weights;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.testng.annotations.Test;

/** Checks that a rollout leaves two thirds of the engines in service where possible. */
public final class RolloutSlotsTest {

  @Test
  public void aThirdOfHealthyEnginesMovesAtOnce() {
    assertEquals(RolloutSlots.of(6, 0).healthy(), 2);
    assertEquals(RolloutSlots.of(8, 0).healthy(), 3);
    assertEquals(RolloutSlots.of(13, 0).healthy(), 5);
    assertEquals(RolloutSlots.of(63, 0).healthy(), 21);
  }

  @Test
  public void failingEnginesOccupySlots() {
    assertEquals(RolloutSlots.of(6, 1).healthy(), 1);
    assertEquals(RolloutSlots.of(6, 2).healthy(), 1);
    assertEquals(RolloutSlots.of(63, 16).healthy(), 5);
  }

  @Test
  public void aRolloutNeverStopsAndNeverTakesTheLastEngine() {
    for (int engines = 1; engines < 70; engines++) {
      for (int failing = 0; failing <= engines; failing++) {
        int healthy = RolloutSlots.of(engines, failing).healthy();
        assertTrue(healthy >= 1);
        assertTrue(healthy == 1 || healthy < engines - failing);
      }
    }
  }

  @Test
  public void anEngineWhoseLastAttemptsFailedIsSuspectedUntilItResponds() {
    BackendTable table = BackendTable.EMPTY.with(List.of(engine("a"), engine("b"), engine("c")));
    table.all().iterator().next().health().recordFailure(0);
    assertEquals(
        RolloutSlots.of(table),
        new RolloutSlots(2, 1),
        "a single failure may be due to the request itself");
    table.all().iterator().next().health().recordFailure(0);
    assertEquals(RolloutSlots.of(table), new RolloutSlots(1, 1));
    table.all().iterator().next().health().recordSuccess();
    assertEquals(RolloutSlots.of(table), new RolloutSlots(2, 1));
  }

  private static Backend engine(String id) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new Backend(id, "pool", address, "zone", 4, false, Map.of("model", 1L));
  }
}
