package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendLoad;
import org.lockdale.gateway.backend.BackendTable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Nodes hear of each other's waiting prompts and expected parts; strangers' bytes are ignored. */
public final class LoadExchangeTest {

  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final BlockingQueue<String> expected = new LinkedBlockingQueue<>();
  private final BackendTable table =
      BackendTable.EMPTY.with(
          List.of(
              new Backend(
                  "i-1",
                  "pool",
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                  "zone",
                  4,
                  false,
                  Map.of("model", 1L))));
  private EventLoopGroup group;
  private InetSocketAddress first;
  private InetSocketAddress second;
  private PeerLoads heard;
  private LoadExchange sender;

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    first = freeAddress();
    second = freeAddress();
    heard = new PeerLoads(new SystemTime());
    expected.clear();
    sender = exchange("node-1", first, List.of(new PeerNode("node-2", second)), heard);
    exchange("node-2", second, List.of(), heard).start();
    sender.start();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private LoadExchange exchange(
      String id, InetSocketAddress address, List<PeerNode> peers, PeerLoads loads) {
    return new LoadExchange(
        id,
        address,
        group.next(),
        () -> table,
        () -> peers,
        loads,
        (engine, parts) -> expected.add(engine + parts));
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket()) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + WAIT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "the condition did not come true in time");
      LockSupport.parkNanos(1_000_000);
    }
  }

  @Test
  public void waitingTokensAreToldAndTakenBack() {
    BackendLoad.Share share = table.all().iterator().next().load().open(5_000, 8_000);
    await(() -> heard.waitingTokens("i-1") == 5_000);
    share.begin();
    await(() -> heard.waitingTokens("i-1") == 0);
    share.end();
  }

  @Test
  public void expectedPartsAreTold() throws InterruptedException {
    sender.expect("i-1", List.of(7L, 8L));
    assertEquals(expected.poll(10, TimeUnit.SECONDS), "i-1[7, 8]");
  }

  @Test
  public void bytesThatAreNoMessageAreIgnored() throws IOException {
    try (DatagramSocket stranger = new DatagramSocket()) {
      stranger.send(new DatagramPacket(new byte[] {1, 2, 3}, 3, second));
    }
    BackendLoad.Share share = table.all().iterator().next().load().open(5_000, 8_000);
    await(() -> heard.waitingTokens("i-1") == 5_000);
    share.end();
  }

  @Test
  public void whatANodeToldIsBelievedForAShortTimeOnly() {
    long[] now = {0};
    Time time =
        new Time() {
          @Override
          public long monotonicMillis() {
            return now[0];
          }

          @Override
          public long wallMillis() {
            return now[0];
          }
        };
    PeerLoads loads = new PeerLoads(time);
    loads.told("node-1", "i-1", 3_000);
    loads.told("node-2", "i-1", 4_000);
    assertEquals(loads.waitingTokens("i-1"), 7_000);
    loads.told("node-2", "i-1", 0);
    assertEquals(loads.waitingTokens("i-1"), 3_000);
    now[0] = 10_000;
    assertEquals(loads.waitingTokens("i-1"), 0);
  }
}
