package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.Outbound;
import org.lockdale.protocol.generated.ConfigurationPull;
import org.lockdale.protocol.generated.Join;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.router.node.RouterNode;
import org.lockdale.router.peer.PeerTransport;
import org.testng.annotations.Test;

/** Checks that nodes process peer messages only from holders of the shared key. */
public final class StrangerTest {

  /**
   * A process with another key can neither join nor pull the configuration; one with the shared key
   * can.
   */
  @Test
  public void messagesSignedWithAnotherKeyAreIgnored() throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try (LocalCluster cluster = LocalCluster.start(Deployment.find("gift-cards"), 1)) {
      AtomicInteger toStranger = new AtomicInteger();
      AtomicInteger toFriend = new AtomicInteger();
      try (PeerTransport stranger = transport(group, "another-key-of-16-characters", toStranger);
          PeerTransport friend = transport(group, "demonstration-key-only", toFriend)) {
        RouterNode node = cluster.nodes().get(0);
        sendJoinAndPull(group, stranger, "stranger", node);
        sendJoinAndPull(group, friend, "friend", node);
        ProcessCluster.await("the friend gets replies", () -> toFriend.get() >= 2);
        assertEquals(toStranger.get(), 0);
        List<String> known = node.blackboard().members().value().stream().map(Member::id).toList();
        assertTrue(known.contains("friend"), known.toString());
        assertTrue(!known.contains("stranger"), known.toString());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
  }

  private static PeerTransport transport(EventLoopGroup group, String key, AtomicInteger received) {
    return new PeerTransport(
        group.next(), Addresses.loopback(0), key, message -> received.incrementAndGet());
  }

  /**
   * Sends a join and a configuration pull on the event loop and waits for it, so that the messages
   * of the stranger are sent before those of the friend.
   */
  private static void sendJoinAndPull(
      EventLoopGroup group, PeerTransport transport, String id, RouterNode node) {
    MemberUpdate sender =
        new MemberUpdate(
            id,
            1L,
            ByteBuffer.wrap(transport.address().getAddress().getAddress()),
            transport.address().getPort(),
            0,
            "zone",
            MemberStatus.ALIVE);
    for (Object body : List.of(new Join(), new ConfigurationPull(0L))) {
      PeerMessage message = new PeerMessage(sender, 1L, 0L, List.of(), body);
      group
          .next()
          .submit(() -> transport.send(new Outbound(node.peerAddress(), message)))
          .awaitUninterruptibly();
    }
  }
}
