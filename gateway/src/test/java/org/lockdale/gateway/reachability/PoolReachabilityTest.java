package org.lockdale.gateway.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.lockdale.coordination.simulation.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which failed connections make a pool unreachable. */
public final class PoolReachabilityTest {

  private static final String POOL = "pool";

  private int backends;
  private PoolReachability reachability;

  @BeforeMethod
  public void start() {
    backends = 8;
    reachability = new PoolReachability(pool -> backends, new VirtualTime());
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
    assertTrue(reachability.recordFailure(POOL, "i-3"));
    assertTrue(reachability.isUnreachable(POOL));
    assertEquals(reachability.unreachablePools(), List.of(POOL));
    assertFalse(reachability.recordFailure(POOL, "i-4"), "reported once");
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
}
