package org.lockdale.coordination.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.MembershipSettings;
import org.lockdale.coordination.simulation.SimulatedCluster;
import org.lockdale.coordination.simulation.SimulatedNode;
import org.lockdale.coordination.simulation.ZonedLinks;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.ResourceRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Membership and the spread of configuration under failures, on a virtual clock. */
public final class ClusterTest implements SimulatedCluster.Observer {

  private static final int ZONES = 3;
  private static final int NODES = 18;

  /** Seeds of each test; more by -Dlockdale.cluster.seeds=N. */
  private static final int SEEDS = Integer.getInteger("lockdale.cluster.seeds", 25);

  private static final long BOUND_MILLIS = 120_000;
  private static final long IN_FORCE_MILLIS = 4_000;

  private SimulatedCluster cluster;
  private int deaths;
  private final Map<String, Long> highest = new HashMap<>();
  private boolean wentBack;

  /** Seeds of all simulations. */
  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[SEEDS][];
    for (int seed = 0; seed < SEEDS; seed++) {
      seeds[seed] = new Object[] {(long) seed + 1};
    }
    return seeds;
  }

  private void start(long seed) {
    deaths = 0;
    highest.clear();
    wentBack = false;
    Map<String, String> regions = new HashMap<>();
    for (int zone = 0; zone < ZONES; zone++) {
      regions.put("zone-" + zone, "region");
    }
    cluster =
        new SimulatedCluster(seed, new ZonedLinks(regions), MembershipSettings.defaults(), this);
    for (int node = 0; node < NODES; node++) {
      cluster.add("node-" + node, "zone-" + node % ZONES);
    }
  }

  private void startAndConverge(long seed) {
    start(seed);
    assertNotEquals(cluster.runUntilConverged(BOUND_MILLIS), -1L, "seed " + seed);
    deaths = 0;
  }

  private static ConfigurationChange change(long version) {
    ResourceRecord resource =
        new ResourceRecord("Tenant", "tenant-" + version, ByteBuffer.allocate(64));
    return new ConfigurationChange(version, "id-" + version, "test", 0L, List.of(resource));
  }

  private List<SimulatedNode> inZone(int zone) {
    List<SimulatedNode> found = new ArrayList<>(cluster.nodes());
    found.removeIf(node -> !node.zone().equals("zone-" + zone));
    return found;
  }

  private long lowestVersion(List<SimulatedNode> nodes) {
    return nodes.stream().mapToLong(node -> node.configuration().version()).min().orElse(-1);
  }

  /** Nodes that start together find each other, whichever of them are the seeds. */
  @Test(dataProvider = "seeds")
  public void nodesThatStartTogetherFindEachOther(long seed) {
    start(seed);
    assertNotEquals(cluster.runUntilConverged(BOUND_MILLIS), -1L, "seed " + seed);
  }

  /** All nodes restarting at once, with everything forgotten, find each other again. */
  @Test(dataProvider = "seeds")
  public void aHerdOfRestartsFindsItself(long seed) {
    startAndConverge(seed);
    cluster.nodes().forEach(SimulatedNode::kill);
    cluster.nodes().forEach(cluster::restart);
    assertNotEquals(cluster.runUntilConverged(BOUND_MILLIS), -1L, "seed " + seed);
  }

  /** One message in a hundred lost makes no running node look dead. */
  @Test(dataProvider = "seeds")
  public void lossAloneKillsNobody(long seed) {
    startAndConverge(seed);
    cluster.links().setLossPerMille(10);
    cluster.time().runMillis(120_000);
    assertEquals(deaths, 0, "seed " + seed);
  }

  /** A dead node becomes known as dead to all others. */
  @Test(dataProvider = "seeds")
  public void aDeathBecomesKnown(long seed) {
    startAndConverge(seed);
    SimulatedNode victim = cluster.nodes().get(5);
    victim.kill();
    cluster.time().runMillis(20_000);
    for (SimulatedNode node : cluster.nodes()) {
      if (node != victim) {
        Member belief = node.coordination().membership().find(victim.id()).orElseThrow();
        assertEquals(belief.status(), MemberStatus.DEAD, "seed " + seed + " at " + node.id());
      }
    }
  }

  /** A node that was paused until it was taken for dead comes back, and accuses nobody. */
  @Test(dataProvider = "seeds")
  public void aPausedNodeComesBackWithoutAccusations(long seed) {
    startAndConverge(seed);
    SimulatedNode sleeper = cluster.nodes().get(4);
    sleeper.pause();
    cluster.time().runMillis(30_000);
    deaths = 0;
    sleeper.resume();
    assertNotEquals(cluster.runUntilConverged(BOUND_MILLIS), -1L, "seed " + seed);
    assertEquals(deaths, 0, "seed " + seed);
  }

  /** A way that is cut in one direction only kills nobody, since others relay the probes. */
  @Test(dataProvider = "seeds")
  public void aOneWayCutKillsNobody(long seed) {
    startAndConverge(seed);
    cluster.links().cutOneWay("zone-0", "zone-1");
    cluster.time().runMillis(60_000);
    assertEquals(deaths, 0, "seed " + seed);
  }

  /** A zone that was cut off is known again after healing and catches up on configuration. */
  @Test(dataProvider = "seeds")
  public void aHealedZoneCatchesUp(long seed) {
    startAndConverge(seed);
    cluster.links().cutOff("zone-2");
    cluster.time().runMillis(60_000);
    cluster.accept(cluster.nodes().get(0), change(1));
    cluster.time().runMillis(10_000);
    assertEquals(lowestVersion(inZone(2)), 0, "the cut leaks");
    cluster.links().heal();
    assertNotEquals(cluster.runUntilConverged(BOUND_MILLIS), -1L, "seed " + seed);
    cluster.time().runMillis(IN_FORCE_MILLIS);
    assertEquals(lowestVersion(cluster.nodes()), 1, "seed " + seed);
  }

  /** A change is in force everywhere within the bound although messages are lost. */
  @Test(dataProvider = "seeds")
  public void aChangeIsInForceEverywhereInTime(long seed) {
    startAndConverge(seed);
    cluster.links().setLossPerMille(10);
    for (long version = 1; version <= 5; version++) {
      cluster.accept(cluster.nodes().get((int) version), change(version));
      cluster.time().runMillis(IN_FORCE_MILLIS);
      assertEquals(lowestVersion(cluster.nodes()), version, "seed " + seed);
    }
    assertFalse(wentBack);
  }

  /** A node that leaves is known to leave, and is not taken for dead while it drains. */
  @Test(dataProvider = "seeds")
  public void aLeavingNodeIsKnownToLeave(long seed) {
    startAndConverge(seed);
    SimulatedNode leaver = cluster.nodes().get(7);
    cluster.leave(leaver);
    cluster.time().runMillis(10_000);
    for (SimulatedNode node : cluster.nodes()) {
      if (node != leaver) {
        Member belief = node.coordination().membership().find(leaver.id()).orElseThrow();
        assertEquals(belief.status(), MemberStatus.LEAVING, "seed " + seed + " at " + node.id());
      }
    }
  }

  /** Nearly always one node of a zone polls the table service, and never none. */
  @Test(dataProvider = "seeds")
  public void everyZoneHasOnePoller(long seed) {
    startAndConverge(seed);
    for (int zone = 0; zone < ZONES; zone++) {
      long pollers =
          inZone(zone).stream().filter(node -> node.coordination().isConfigurationPoller()).count();
      assertEquals(pollers, 1, "seed " + seed + " zone " + zone);
    }
    assertTrue(cluster.isConverged());
  }

  @Override
  public void memberChanged(SimulatedNode node, Member member) {
    if (member.status() == MemberStatus.DEAD) {
      deaths++;
    }
  }

  @Override
  public void configurationChanged(SimulatedNode node, long version) {
    wentBack |= version < highest.getOrDefault(node.id(), 0L);
    highest.put(node.id(), version);
  }
}
