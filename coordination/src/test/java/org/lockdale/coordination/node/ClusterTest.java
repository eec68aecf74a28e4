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

/** Tests membership and dissemination of configuration under failures, on a virtual clock. */
public final class ClusterTest implements SimulatedCluster.Observer {

  private static final int ZONES = 3;
  private static final int NODES = 18;

  /** Number of seeds per test; set by -Dlockdale.cluster.seeds=N. */
  private static final int SEEDS = Integer.getInteger("lockdale.cluster.seeds", 25);

  private static final long CONVERGENCE_BOUND_MILLIS = 120_000;
  private static final long PROPAGATION_BOUND_MILLIS = 4_000;

  private SimulatedCluster cluster;
  private int deaths;
  private final Map<String, Long> highestVersionByNode = new HashMap<>();
  private boolean versionWentBack;

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
    highestVersionByNode.clear();
    versionWentBack = false;
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
    assertNotEquals(cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS), -1L, "seed " + seed);
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

  /** Nodes that start at the same time discover each other. */
  @Test(dataProvider = "seeds")
  public void nodesThatStartTogetherFindEachOther(long seed) {
    start(seed);
    assertNotEquals(cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS), -1L, "seed " + seed);
  }

  /** Nodes that all restart at the same time without their former state discover each other. */
  @Test(dataProvider = "seeds")
  public void nodesThatRestartTogetherFindEachOther(long seed) {
    startAndConverge(seed);
    cluster.nodes().forEach(SimulatedNode::kill);
    cluster.nodes().forEach(cluster::restart);
    assertNotEquals(cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS), -1L, "seed " + seed);
  }

  /** A message loss of 1% does not cause a running node to be declared dead. */
  @Test(dataProvider = "seeds")
  public void messageLossCausesNoDeath(long seed) {
    startAndConverge(seed);
    cluster.links().setLossPerMille(10);
    cluster.time().runMillis(120_000);
    assertEquals(deaths, 0, "seed " + seed);
  }

  /** All other nodes learn of the death of a node. */
  @Test(dataProvider = "seeds")
  public void aDeathBecomesKnown(long seed) {
    startAndConverge(seed);
    SimulatedNode victim = cluster.nodes().get(5);
    victim.kill();
    cluster.time().runMillis(20_000);
    for (SimulatedNode node : cluster.nodes()) {
      if (node != victim) {
        Member known = node.coordination().membership().find(victim.id()).orElseThrow();
        assertEquals(known.status(), MemberStatus.DEAD, "seed " + seed + " at " + node.id());
      }
    }
  }

  /** A node that was declared dead during a pause rejoins, and declares no other node dead. */
  @Test(dataProvider = "seeds")
  public void aPausedNodeRejoinsAndDeclaresNobodyDead(long seed) {
    startAndConverge(seed);
    SimulatedNode pausedNode = cluster.nodes().get(4);
    pausedNode.pause();
    cluster.time().runMillis(30_000);
    deaths = 0;
    pausedNode.resume();
    assertNotEquals(cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS), -1L, "seed " + seed);
    assertEquals(deaths, 0, "seed " + seed);
  }

  /** A one-way partition causes no node to be declared dead, since other nodes relay the probes. */
  @Test(dataProvider = "seeds")
  public void aOneWayPartitionCausesNoDeath(long seed) {
    startAndConverge(seed);
    cluster.links().partitionOneWay("zone-0", "zone-1");
    cluster.time().runMillis(60_000);
    assertEquals(deaths, 0, "seed " + seed);
  }

  /** A zone rejoins after a network partition and receives the configuration changes it missed. */
  @Test(dataProvider = "seeds")
  public void aHealedZoneCatchesUp(long seed) {
    startAndConverge(seed);
    cluster.links().isolateZone("zone-2");
    cluster.time().runMillis(60_000);
    cluster.accept(cluster.nodes().get(0), change(1));
    cluster.time().runMillis(10_000);
    assertEquals(lowestVersion(inZone(2)), 0, "the partitioned zone received the change");
    cluster.links().heal();
    assertNotEquals(cluster.runUntilConverged(CONVERGENCE_BOUND_MILLIS), -1L, "seed " + seed);
    cluster.time().runMillis(PROPAGATION_BOUND_MILLIS);
    assertEquals(lowestVersion(cluster.nodes()), 1, "seed " + seed);
  }

  /** A change takes effect at all nodes within the bound, even if 1% of the messages are lost. */
  @Test(dataProvider = "seeds")
  public void aChangeIsInForceEverywhereInTime(long seed) {
    startAndConverge(seed);
    cluster.links().setLossPerMille(10);
    for (long version = 1; version <= 5; version++) {
      cluster.accept(cluster.nodes().get((int) version), change(version));
      cluster.time().runMillis(PROPAGATION_BOUND_MILLIS);
      assertEquals(lowestVersion(cluster.nodes()), version, "seed " + seed);
    }
    assertFalse(versionWentBack);
  }

  /**
   * All other nodes list a draining node as leaving, and do not declare it dead while it drains.
   */
  @Test(dataProvider = "seeds")
  public void aLeavingNodeIsKnownToLeave(long seed) {
    startAndConverge(seed);
    SimulatedNode leavingNode = cluster.nodes().get(7);
    cluster.leave(leavingNode);
    cluster.time().runMillis(10_000);
    for (SimulatedNode node : cluster.nodes()) {
      if (node != leavingNode) {
        Member known = node.coordination().membership().find(leavingNode.id()).orElseThrow();
        assertEquals(known.status(), MemberStatus.LEAVING, "seed " + seed + " at " + node.id());
      }
    }
  }

  /** Exactly one node of each zone polls the table service in a converged cluster. */
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
    versionWentBack |= version < highestVersionByNode.getOrDefault(node.id(), 0L);
    highestVersionByNode.put(node.id(), version);
  }
}
