package org.lockdale.gateway.backend;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Checks which state of a server is kept from one incarnation to the next. */
public final class BackendTableTest {

  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private static Backend incarnation(String id) {
    return new Backend(id, "pool", ADDRESS, "zone", 4, false, Map.of());
  }

  @Test
  public void aBackoffRequestedByTheNextIncarnationBeforeItsRecordWasReadIsKept() {
    BackendTable former = BackendTable.EMPTY.with(List.of(incarnation("i-1@1")));
    former.find("i-1@1").backoff().extend(3_000, 0);
    BackendTable next = former.with(List.of(incarnation("i-1@2")));
    assertTrue(next.find("i-1@2").backoff().isActive(2_999));
    assertFalse(next.find("i-1@2").backoff().isActive(3_000));
  }

  @Test
  public void theNextIncarnationOfADrainedServerIsNotDraining() {
    BackendTable former = BackendTable.EMPTY.with(List.of(incarnation("i-1@1")));
    former.find("i-1@1").markDraining();
    assertTrue(former.with(List.of(incarnation("i-1@2"))).find("i-1@2").isServing());
  }
}
