package org.lockdale.coordination.example;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.MembershipSettings;
import org.lockdale.coordination.membership.Outbound;
import org.lockdale.coordination.node.CoordinationListener;
import org.lockdale.coordination.node.CoordinationNode;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationTransfer;
import org.lockdale.protocol.generated.MemberStatus;
import org.testng.annotations.Test;

/** Runs the example of docs/COORDINATION.md: three nodes with the transport of an application. */
public final class EmbeddingExampleTest {

  private final Map<InetSocketAddress, CoordinationNode> nodes = new HashMap<>();
  private final Queue<Outbound> wire = new ArrayDeque<>();

  private CoordinationNode start(int port) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    InetSocketAddress seed = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Member self = new Member("node-" + port, 1, address, 0, "zone", MemberStatus.ALIVE);
    CoordinationListener listener =
        new CoordinationListener() {
          @Override
          public void memberChanged(Member member) {
            // Called after a member was added or changed.
          }

          @Override
          public void configurationChanged(ConfigurationState state) {
            // Called after a newer version took effect at this node.
          }
        };
    CoordinationNode node =
        new CoordinationNode(
            self,
            List.of(seed),
            MembershipSettings.defaults(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(port),
            listener);
    nodes.put(address, node);
    return node;
  }

  private void runUntil(long millis) {
    for (long now = 0; now <= millis; now += 100) {
      long time = now;
      nodes.values().forEach(node -> wire.addAll(node.tick(time)));
      while (!wire.isEmpty()) {
        Outbound next = wire.poll();
        wire.addAll(nodes.get(next.destination()).receive(next.message(), time));
      }
    }
  }

  /** Three nodes discover each other, and a change that one accepts takes effect at all of them. */
  @Test
  public void threeNodes() {
    CoordinationNode first = start(1);
    start(2);
    start(3);
    runUntil(10_000);
    ConfigurationChange change = new ConfigurationChange(1L, "id", "me", 0L, List.of());
    wire.addAll(first.accept(new ConfigurationTransfer(null, List.of(change))));
    runUntil(10_000);
    for (CoordinationNode node : nodes.values()) {
      assertEquals(node.membership().reachableCount(), 3);
      assertEquals(node.configuration().version(), 1);
    }
  }
}
