package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
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
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.gateway.weights.EngineMove;
import org.lockdale.protocol.generated.AttemptVerdict;
import org.lockdale.protocol.generated.NodeReport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that relays receive the load of other nodes and ignore malformed datagrams. */
public final class NodeReporterTest {

  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final BlockingQueue<String> expected = new LinkedBlockingQueue<>();
  private final BlockingQueue<EngineMove> moves = new LinkedBlockingQueue<>();
  private final BackendTable sendersTable = table();
  private final BackendTable relaysTable = table();
  private EventLoopGroup group;
  private InetSocketAddress relayAddress;
  private PeerLoads relayLoads;
  private NodeReporter sender;

  private static BackendTable table() {
    return BackendTable.EMPTY.with(List.of(engine("i-1"), engine("i-2")));
  }

  private static Backend engine(String id) {
    return new Backend(
        id,
        "pool",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        "zone",
        4,
        false,
        Map.of("model", 1L));
  }

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    relayAddress = freeAddress();
    relayLoads = new PeerLoads(SystemTime.instance());
    expected.clear();
    moves.clear();
    startRelay();
    EventLoop loop = group.next();
    DatagramExchange datagrams =
        new DatagramExchange("node-1", freeAddress(), loop, new TrafficMeter());
    datagrams.start(new NoOpDatagramListener());
    List<RelayElection.Relay> relays = List.of(new RelayElection.Relay("node-2", relayAddress, 0));
    sender =
        new NodeReporter(loop, datagrams, () -> sendersTable, () -> relays, SystemTime.instance());
    sender.start();
  }

  private void startRelay() {
    ReportReceiver receiver =
        new ReportReceiver(
            () -> relaysTable,
            relayLoads,
            SystemTime.instance(),
            moves::add,
            (engine, parts) -> expected.add(engine + parts));
    new DatagramExchange("node-2", relayAddress, group.next(), new TrafficMeter())
        .start(new Receiving(receiver));
  }

  private static final class Receiving extends NoOpDatagramListener {
    private final ReportReceiver receiver;

    Receiving(ReportReceiver receiver) {
      this.receiver = receiver;
    }

    @Override
    public void onReport(String sender, NodeReport report) {
      receiver.accept(sender, report);
    }
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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

  private BackendLoad senderLoad() {
    return sendersTable.find("i-1").load();
  }

  @Test
  public void loadIsReportedAndWithdrawn() {
    BackendLoad.Share share = senderLoad().open(5_000, 8_000);
    sender.workChanged();
    await(() -> relayLoads.at("i-1").equals(new BackendWork(5_000, 0, 1)));
    share.recordStart();
    sender.workChanged();
    await(() -> relayLoads.at("i-1").equals(new BackendWork(0, 8_000, 1)));
    share.end();
    await(() -> relayLoads.at("i-1").isNone());
  }

  /**
   * Guards against reports that include placements whose load they omit. A report includes all
   * placements up to a number, and the relay then drops those; reports left out engines at which
   * requests had only been opened, so for up to half a second the relay counted neither.
   */
  @Test
  public void aReportThatIncludesAPlacementContainsItsLoad() {
    BackendLoad.Share reported = senderLoad().open(500, 800);
    sender.workChanged();
    await(() -> relayLoads.at("i-1").openRequests() == 1);
    relayLoads.recordPlacement("node-1", 7, "i-1", 600);
    BackendLoad.Share opened = senderLoad().open(600, 900);
    sender.noteOpened("node-2", 7);
    BackendLoad.Share other = sendersTable.find("i-2").load().open(100, 100);
    sender.workChanged();
    await(() -> relayLoads.at("i-2").openRequests() == 1);
    List.of(reported, opened, other).forEach(BackendLoad.Share::end);
    assertEquals(relayLoads.at("i-1"), new BackendWork(1_100, 0, 2));
  }

  @Test
  public void expectedPartsAndMovesAreReported() throws InterruptedException {
    sender.noteExpectedParts("i-1", List.of(7L, 8L));
    assertEquals(expected.poll(10, TimeUnit.SECONDS), "i-1[7, 8]");
    EngineMove move = new EngineMove("i-1", "model", 3, true);
    sender.noteMove(move);
    assertEquals(moves.poll(10, TimeUnit.SECONDS), move);
  }

  @Test
  public void failuresInARowAtAnyNodeKeepRequestsAwayAndASuccessBringsThemBack() {
    sender.concluded("i-1", AttemptVerdict.FAILED);
    sender.concluded("i-1", AttemptVerdict.UNREACHABLE);
    Time time = SystemTime.instance();
    await(() -> relaysTable.find("i-1").health().isEjected(time.monotonicMillis()));
    sender.concluded("i-1", AttemptVerdict.SUCCEEDED);
    await(() -> !relaysTable.find("i-1").health().isEjected(time.monotonicMillis()));
  }

  /**
   * Guards against an engine that rejects requests looking idle: its requests ended at once, so the
   * relay kept sending the requests of all other nodes there.
   */
  @Test
  public void aRejectionAtAnyNodeKeepsRequestsAwayAlsoWhenOthersSucceed() {
    long before = SystemTime.instance().monotonicMillis();
    sender.concluded("i-1", AttemptVerdict.REJECTED);
    await(() -> relaysTable.find("i-1").health().isEjected(before));
    sender.concluded("i-1", AttemptVerdict.SUCCEEDED);
    sender.noteExpectedParts("i-1", List.of(7L));
    await(() -> !expected.isEmpty());
    assertTrue(relaysTable.find("i-1").health().isEjected(before));
  }

  @Test
  public void malformedDatagramsAreIgnored() throws IOException {
    try (DatagramSocket stranger = new DatagramSocket()) {
      stranger.send(new DatagramPacket(new byte[] {1, 2, 3}, 3, relayAddress));
    }
    BackendLoad.Share share = senderLoad().open(5_000, 8_000);
    await(() -> relayLoads.at("i-1").waitingTokens() == 5_000);
    share.end();
  }
}
