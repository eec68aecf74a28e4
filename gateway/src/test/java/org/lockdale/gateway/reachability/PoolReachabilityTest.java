package org.lockdale.gateway.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.http.Reachability;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which failed connections make a pool unreachable. */
public final class PoolReachabilityTest {

  private static final String POOL = "pool";

  private final List<String> reported = new ArrayList<>();
  private VirtualTime time;
  private int backends;
  private PoolReachability reachability;

  @BeforeMethod
  public void start() {
    backends = 8;
    time = new VirtualTime();
    reported.clear();
    reachability = new PoolReachability(pool -> backends, reported::add, time);
  }

  private void fail(String... ids) {
    for (String id : ids) {
      reachability.recordFailure(POOL, id);
    }
  }

  @Test
  public void failuresAtSeveralBackendsInARowMakeAPoolUnreachable() {
    fail("i-1", "i-2");
    assertFalse(reachability.isUnreachable(POOL));
    fail("i-3");
    assertTrue(reachability.isUnreachable(POOL));
    assertEquals(reachability.unreachablePools(), List.of(POOL));
    fail("i-4");
    assertEquals(reported, List.of(POOL), "reported once");
  }

  @Test
  public void failuresAtOneBackendDoNot() {
    fail("i-1", "i-1", "i-1", "i-1");
    assertFalse(reachability.isUnreachable(POOL));
  }

  @Test
  public void aBackendThatIsReachedInBetweenEndsTheRow() {
    fail("i-1", "i-2");
    reachability.recordReached(POOL);
    fail("i-3", "i-4");
    assertFalse(reachability.isUnreachable(POOL));
  }

  @Test
  public void aPoolIsReachableAgainOnceABackendIsReached() {
    fail("i-1", "i-2", "i-3");
    reachability.recordReached(POOL);
    assertFalse(reachability.isUnreachable(POOL));
    assertEquals(reachability.unreachablePools(), List.of());
  }

  @Test
  public void allBackendsOfASmallPoolHaveToFail() {
    backends = 2;
    fail("i-1");
    assertFalse(reachability.isUnreachable(POOL));
    fail("i-2");
    assertTrue(reachability.isUnreachable(POOL));
  }

  @Test
  public void poolsAreIndependent() {
    fail("i-1", "i-2", "i-3");
    assertFalse(reachability.isUnreachable("another"));
  }

  @Test
  public void aPoolWithoutBackendsIsNotUnreachable() {
    backends = 0;
    fail("i-1");
    assertFalse(reachability.isUnreachable(POOL));
  }

  @Test
  public void aPoolIsSilentIfNothingIsReceivedAfterARequestWasSent() {
    reachability.recordSent(POOL);
    time.runUntil(700_000);
    assertEquals(reachability.silentPools(), List.of());
    reachability.recordSent(POOL);
    time.runUntil(900_000);
    assertEquals(reachability.silentPools(), List.of(POOL));
    reachability.recordReached(POOL);
    assertEquals(reachability.silentPools(), List.of());
  }

  @Test
  public void aPoolToWhichNothingWasSentIsNotSilent() {
    reachability.recordSent(POOL);
    reachability.recordReached(POOL);
    time.runUntil(60_000_000);
    assertEquals(reachability.silentPools(), List.of());
  }

  @Test
  public void backendsThatCloseConnectionsAtOnceDoNotMakeAPoolUnreachable() {
    for (String id : List.of("i-1", "i-2", "i-3", "i-4")) {
      Backend backend =
          new Backend(
              id, POOL, InetSocketAddress.createUnresolved(id, 1), "zone", 4, false, Map.of());
      reachability.recordProbe(backend, Reachability.CLOSES);
    }
    assertFalse(reachability.isUnreachable(POOL));
  }
}
