package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.http.Reachability;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that closed connections are reported before it is known whether the backend crashed. Behind
 * a proxy the address of a crashed backend accepts connections and closes them. The crash was known
 * only when its record was gone, 2.4 s later, and only a single node had observed it; each of three
 * such nodes was killed in that time, and a request was sent once more than is tolerated.
 */
public final class CrashWatchTest {

  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001);

  private final VirtualTime time = new VirtualTime();
  private Queue<Reachability> probeResults;
  private List<BackendCrash> crashes;
  private List<String> closed;
  private BackendTable table;
  private CrashWatch watch;

  @BeforeMethod
  public void create() {
    probeResults = new ArrayDeque<>();
    crashes = new ArrayList<>();
    closed = new ArrayList<>();
    table =
        BackendTable.EMPTY.with(
            List.of(new Backend("i-1@1", "pool", ADDRESS, "zone", 4, false, Map.of())));
    watch =
        new CrashWatch(
            new VirtualExecutor(time),
            address -> CompletableFuture.completedFuture(probeResults.remove()),
            () -> table,
            new CrashWatch.Listener() {
              @Override
              public void onClosedByNextIncarnation(LostAttempt attempt) {}

              @Override
              public void onAssigned(LostAttempt attempt) {}

              @Override
              public void onConnectionClosed(LostAttempt attempt) {
                closed.add(attempt.request().id());
              }

              @Override
              public void onCrash(BackendCrash crash) {
                crashes.add(crash);
              }
            },
            time);
  }

  private void lose(Reachability... found) {
    probeResults.addAll(List.of(found));
    watch.attemptLost(lost("r1", LostAttempt.Loss.CLOSED));
    time.runMillis(100);
  }

  private static LostAttempt lost(String id, LostAttempt.Loss loss) {
    return new LostAttempt(
        "i-1@1", ADDRESS, Requests.of(id, "/a", "body"), "tenant", 0, loss, 0, false, 0);
  }

  private List<CrashEvidence> evidence() {
    return crashes.stream().map(BackendCrash::evidence).toList();
  }

  @Test
  public void connectionsThatAreClosedAtOnceTwiceShowTheCrash() {
    lose(Reachability.CLOSES, Reachability.CLOSES);
    assertEquals(evidence(), List.of(CrashEvidence.CLOSES_CONNECTIONS));
  }

  @Test
  public void aConnectionThatIsClosedAtOnceOnlyOnceShowsNothing() {
    lose(Reachability.CLOSES, Reachability.ACCEPTS);
    assertEquals(evidence(), List.of());
  }

  @Test
  public void aRefusedConnectionShowsTheCrash() {
    lose(Reachability.REFUSES);
    assertEquals(evidence(), List.of(CrashEvidence.REFUSES_CONNECTIONS));
  }

  @Test
  public void aSilentAddressShowsNothing() {
    lose(Reachability.UNKNOWN);
    assertEquals(evidence(), List.of());
  }

  /** The node that observed it may be killed before it is known whether the backend crashed. */
  @Test
  public void aClosedConnectionIsReportedAtOnce() {
    probeResults.add(Reachability.ACCEPTS);
    watch.attemptLost(lost("r1", LostAttempt.Loss.CLOSED));
    watch.attemptLost(lost("r2", LostAttempt.Loss.CLOSED));
    time.runMillis(1);
    assertEquals(closed, List.of("r1", "r2"));
    time.runMillis(100);
  }

  /** An overloaded backend is silent as well, and takes long to respond again. */
  @Test
  public void aSilentConnectionIsNotReportedAsClosed() {
    probeResults.add(Reachability.ACCEPTS);
    watch.attemptLost(lost("r1", LostAttempt.Loss.SILENT));
    time.runMillis(100);
    assertEquals(closed, List.of());
  }

  /**
   * A caller disconnects 30 ms after it has sent its request, and 10 ms later the request crashes
   * the backend; only the connections of other requests show this.
   */
  @Test
  public void anAttemptGivenUpShortlyBeforeOthersCloseIsLostWithThem() {
    probeResults.add(Reachability.REFUSES);
    watch.attemptLost(lost("left", LostAttempt.Loss.GIVEN_UP));
    time.runMillis(500);
    assertEquals(closed, List.of(), "nothing indicates a crash yet");
    watch.attemptLost(lost("neighbour", LostAttempt.Loss.CLOSED));
    time.runMillis(1);
    assertEquals(closed, List.of("neighbour", "left"));
    time.runMillis(100);
    assertEquals(crashes.get(0).lost().size(), 2);
  }

  /**
   * A loaded server started the attempt 0.5 s after its caller had disconnected, and the node
   * handled the closed connection 1.2 s later.
   */
  @Test
  public void anAttemptGivenUpSecondsBeforeALoadedNodeHandlesTheCloseIsLostWithIt() {
    probeResults.add(Reachability.REFUSES);
    watch.attemptLost(lost("left", LostAttempt.Loss.GIVEN_UP));
    time.runMillis(2_400);
    watch.attemptLost(lost("neighbour", LostAttempt.Loss.CLOSED));
    time.runMillis(1);
    assertEquals(closed, List.of("neighbour", "left"));
    time.runMillis(100);
  }

  /** Nothing had been heard of the backend since the attempt was given up. */
  @Test
  public void anAttemptIsLostWithLaterOnesUnlessItsBackendIsKnownToHaveOutlivedIt() {
    probeResults.add(Reachability.REFUSES);
    watch.attemptLost(lost("left", LostAttempt.Loss.GIVEN_UP));
    time.runMillis(3_500);
    watch.attemptLost(lost("neighbour", LostAttempt.Loss.CLOSED));
    time.runMillis(1);
    assertEquals(closed, List.of("neighbour", "left"));
    time.runMillis(100);
  }

  @Test
  public void aGivenUpAttemptThatItsBackendSurvivedIsNotLostWithLaterOnes() {
    probeResults.add(Reachability.REFUSES);
    watch.attemptLost(lost("left", LostAttempt.Loss.GIVEN_UP));
    time.runMillis(1_500);
    table.find("i-1@1").recordAlive(time.monotonicMillis());
    watch.attemptLost(lost("neighbour", LostAttempt.Loss.CLOSED));
    time.runMillis(100);
    assertEquals(closed, List.of("neighbour"));
    assertEquals(crashes.get(0).lost().size(), 1);
  }

  @Test
  public void anAttemptGivenUpLongBeforeIsNotLostWithLaterOnes() {
    probeResults.add(Reachability.REFUSES);
    watch.attemptLost(lost("left", LostAttempt.Loss.GIVEN_UP));
    time.runMillis(10_500);
    watch.attemptLost(lost("neighbour", LostAttempt.Loss.CLOSED));
    time.runMillis(100);
    assertEquals(closed, List.of("neighbour"));
    assertEquals(crashes.get(0).lost().size(), 1);
  }
}
