package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendWork;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that load of other nodes is counted once and expires. */
public final class PeerLoadsTest {

  private long nowMillis;
  private PeerLoads loads;

  @BeforeMethod
  public void create() {
    nowMillis = 0;
    loads =
        new PeerLoads(
            new Time() {
              @Override
              public long monotonicMillis() {
                return nowMillis;
              }

              @Override
              public long wallMillis() {
                return nowMillis;
              }
            });
  }

  @Test
  public void reportedLoadExpires() {
    loads.recordReport("node-1", "i-1", new BackendWork(3_000, 10, 1));
    loads.recordReport("node-2", "i-1", new BackendWork(4_000, 20, 2));
    assertEquals(loads.at("i-1"), new BackendWork(7_000, 30, 3));
    loads.recordReport("node-2", "i-1", BackendWork.NONE);
    assertEquals(loads.at("i-1"), new BackendWork(3_000, 10, 1));
    nowMillis = 10_000;
    assertTrue(loads.at("i-1").isNone());
  }

  @Test
  public void aPlacementCountsUntilItsNodeReportsIt() {
    loads.recordPlacement("node-1", 1, "i-1", 500);
    loads.recordPlacement("node-1", 2, "i-1", 700);
    loads.recordPlacement("node-2", 3, "i-1", 900);
    assertEquals(loads.at("i-1"), new BackendWork(2_100, 0, 3));
    loads.recordReport("node-1", "i-1", new BackendWork(500, 0, 1));
    loads.dropPlacementsUpTo("node-1", 1);
    assertEquals(loads.at("i-1"), new BackendWork(2_100, 0, 3));
    loads.dropPlacementsUpTo("node-1", 2);
    assertEquals(loads.at("i-1"), new BackendWork(1_400, 0, 2));
  }

  @Test
  public void aPlacementThatIsNeverReportedExpires() {
    loads.recordPlacement("node-1", 1, "i-1", 500);
    nowMillis = 10_000;
    loads.expire();
    assertTrue(loads.at("i-1").isNone());
    loads.dropPlacementsUpTo("node-1", 1);
    assertTrue(loads.at("i-1").isNone());
  }
}
