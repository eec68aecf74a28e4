package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.simulation.VirtualTime;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks when a node announces itself. */
public final class NodeRegistryTest {

  private static final PeerNode SELF = node("self", 1, 20);

  private final AtomicInteger announcements = new AtomicInteger();
  private CountDownLatch announced;
  private EventLoop eventLoop;
  private NodeRegistry registry;

  private final class CountingTable extends EmptyClusterTable {

    @Override
    public CompletableFuture<@Nullable Void> announce(PeerNode node) {
      announcements.incrementAndGet();
      announced.countDown();
      return super.announce(node);
    }
  }

  private static PeerNode node(String id, int port, double link) {
    return new PeerNode(id, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), link);
  }

  @BeforeMethod
  public void start() {
    announcements.set(0);
    announced = new CountDownLatch(1);
    eventLoop = new DefaultEventLoop();
    registry = new NodeRegistry(eventLoop, new CountingTable(), SELF, new VirtualTime());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private int announcementsAfterReadingTwice(PeerNode... rows) {
    eventLoop
        .submit(
            () -> {
              for (PeerNode row : rows) {
                registry.onNodeRow(row, 7);
              }
              registry.onTableRead();
              registry.onTableRead();
            })
        .syncUninterruptibly();
    return announcements.get();
  }

  @Test
  public void aNodeWithoutARowAnnouncesItselfOnce() {
    assertEquals(announcementsAfterReadingTwice(node("other", 2, 20)), 1);
  }

  /**
   * Guards against a burst of announcements after a power loss: all nodes restarted at once, and
   * each read the row of each other node twice.
   */
  @Test
  public void aNodeThatRestartsUnchangedDoesNotAnnounceItselfAtOnce() {
    assertEquals(announcementsAfterReadingTwice(node("other", 2, 20), SELF), 0);
  }

  @Test
  public void aNodeThatRestartsElsewhereAnnouncesItself() {
    assertEquals(announcementsAfterReadingTwice(node("self", 3, 20)), 1);
    restart();
    assertEquals(announcementsAfterReadingTwice(node("self", 1, 200)), 1);
  }

  private void restart() {
    stop();
    start();
  }

  @Test(timeOut = 60_000)
  public void aNodeThatCannotReadTheTableStillAnnouncesItself() throws InterruptedException {
    registry.start();
    announced.await();
    assertEquals(announcements.get(), 1);
  }
}
