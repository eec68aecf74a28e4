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
 * Behind a proxy the address of a back end that ended takes connections and closes them. Its end
 * was known by its record only, 2.4 s later, and by one node until then; each of three such nodes
 * was killed in that time, and a request was sent once more than is borne.
 */
public final class EndWatchTest {

  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001);

  private final VirtualTime time = new VirtualTime();
  private Queue<Reachability> answers;
  private List<BackendEnd> ends;
  private EndWatch watch;

  @BeforeMethod
  public void create() {
    answers = new ArrayDeque<>();
    ends = new ArrayList<>();
    BackendTable table =
        BackendTable.EMPTY.with(
            List.of(new Backend("i-1@1", "pool", ADDRESS, "zone", 4, false, Map.of())));
    watch =
        new EndWatch(
            new VirtualExecutor(time),
            address -> CompletableFuture.completedFuture(answers.remove()),
            () -> table,
            ends::add,
            time);
  }

  private void lose(Reachability... found) {
    answers.addAll(List.of(found));
    watch.lost(new LostAttempt("i-1@1", ADDRESS, Requests.of("r1", "/a", "body"), "tenant", 0));
    time.runMillis(100);
  }

  private List<EndEvidence> evidence() {
    return ends.stream().map(BackendEnd::evidence).toList();
  }

  @Test
  public void connectionsThatAreClosedAtOnceTwiceShowTheEnd() {
    lose(Reachability.CLOSES, Reachability.CLOSES);
    assertEquals(evidence(), List.of(EndEvidence.CLOSES_CONNECTIONS));
  }

  @Test
  public void oneThatIsClosedOnceShowsNothing() {
    lose(Reachability.CLOSES, Reachability.ACCEPTS);
    assertEquals(evidence(), List.of());
  }

  @Test
  public void aRefusedConnectionShowsTheEnd() {
    lose(Reachability.REFUSES);
    assertEquals(evidence(), List.of(EndEvidence.REFUSES_CONNECTIONS));
  }

  @Test
  public void aSilentAddressShowsNothing() {
    lose(Reachability.UNKNOWN);
    assertEquals(evidence(), List.of());
  }
}
