package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.lockdale.gateway.cluster.ConfigurationFleet.Node;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks how soon a configuration is in force at all nodes in touch while relays are lost. */
public final class ConfigurationDelayTest {

  /** The shortest bound of the deployments from acknowledgement to in force. */
  private static final long BOUND_MILLIS = 2_000;

  private static final long SETTLING_MILLIS = 9_000;
  private static final long OUTAGE_MILLIS = 9_000;
  private static final long STEP_MILLIS = 50;
  private static final int CHANGES = 8;
  private static final int CHANGES_WITHIN_MILLIS = 8_000;

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{7, 7, 40}, {10, 10, 40}, {32, 32, 25}, {72, 6, 25}, {300, 20, 3}};
  }

  /** Both relays and a part of the other nodes are lost in the same way, whatever it is. */
  @Test(dataProvider = "fleets")
  public void aRevokedKeyIsNotAcceptedForLongWhileBothRelaysAreLost(
      int nodes, int betterLinks, int draws) {
    for (RelayFault fault : RelayFault.values()) {
      for (long seed = 0; seed < draws; seed++) {
        Random random = new Random(seed);
        ConfigurationFleet fleet = settled(nodes, betterLinks, seed);
        strikeRelaysAndShare(fleet, fault, random);
        changeAndCheck(fleet, random, nodes + " nodes, " + fault + ", seed " + seed);
      }
    }
  }

  /** Faults come in series and overlap, each on the relays of the moment or on a random part. */
  @Test(dataProvider = "fleets")
  public void aRevokedKeyIsNotAcceptedForLongInASeriesOfFaults(
      int nodes, int betterLinks, int draws) {
    for (long seed = 0; seed < 4L * draws; seed++) {
      Random random = new Random(seed);
      ConfigurationFleet fleet = settled(nodes, betterLinks, seed);
      for (int strike = 0; strike < 3; strike++) {
        RelayFault fault = RelayFault.values()[random.nextInt(RelayFault.values().length)];
        fleet.after(random.nextInt(5_000), () -> strikeRelaysAndShare(fleet, fault, random));
      }
      changeAndCheck(fleet, random, nodes + " nodes, series, seed " + seed);
    }
  }

  /** Its senior relays, which the store refuses, repeated the proofs that they heard from it. */
  @Test(dataProvider = "fleets")
  public void theOnlyRelayThatReadsTheStoreDoesNotRetire(int nodes, int betterLinks, int draws) {
    for (long seed = 0; seed < draws; seed++) {
      ConfigurationFleet fleet = settled(nodes, betterLinks, seed);
      strikeRelaysAndShare(fleet, RelayFault.REFUSED, new Random(seed), OUTAGE_MILLIS);
      List<Node> readers = List.of();
      for (long millis = 0; millis < OUTAGE_MILLIS; millis += STEP_MILLIS) {
        fleet.run(STEP_MILLIS);
        List<Node> present = fleet.servingWithStore();
        assertTrue(
            readers.isEmpty() || !present.isEmpty(),
            nodes + " nodes, seed " + seed + ": " + readers + " retired");
        readers = present;
      }
    }
  }

  private static ConfigurationFleet settled(int nodes, int betterLinks, long seed) {
    ConfigurationFleet fleet = new ConfigurationFleet(nodes, betterLinks, seed);
    fleet.run(SETTLING_MILLIS + seed % 1_000);
    return fleet;
  }

  /** Strikes the relays and up to half of the other nodes, for 2 to 9 s. */
  static void strikeRelaysAndShare(ConfigurationFleet fleet, RelayFault fault, Random random) {
    strikeRelaysAndShare(fleet, fault, random, 2_000 + random.nextInt(7_000));
  }

  private static void strikeRelaysAndShare(
      ConfigurationFleet fleet, RelayFault fault, Random random, long millis) {
    List<Node> relays = fleet.serving();
    List<Node> others = new ArrayList<>(fleet.nodes());
    others.removeAll(relays);
    Collections.shuffle(others, random);
    relays.forEach(node -> fleet.strike(node, fault, millis));
    others
        .subList(0, random.nextInt(others.size() / 2 + 1))
        .forEach(node -> fleet.strike(node, fault, millis));
  }

  private static void changeAndCheck(ConfigurationFleet fleet, Random random, String draw) {
    for (int change = 0; change < CHANGES; change++) {
      fleet.replaceConfigurationAfter(random.nextInt(CHANGES_WITHIN_MILLIS));
    }
    fleet.run(CHANGES_WITHIN_MILLIS + 2 * BOUND_MILLIS);
    long delay = fleet.longestDelayMillis();
    assertTrue(delay <= BOUND_MILLIS, "in force after " + delay + " ms, " + draw);
  }
}
