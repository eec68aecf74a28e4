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

  @Test
  public void aServerThatWasDrainingWhenItsRecordWasRemovedHasLeft() {
    BackendTable former =
        BackendTable.EMPTY.with(List.of(incarnation("i-1@1"), incarnation("i-2@1")));
    former.find("i-1@1").markDraining();
    BackendTable next = former.with(List.of()).with(List.of());
    assertTrue(next.hasLeft("i-1@1"));
    assertFalse(next.hasLeft("i-2@1"));
  }

  @Test
  public void aServerThatAnnouncesDrainingAfterItsRecordWasRemovedHasLeft() {
    BackendTable former = BackendTable.EMPTY.with(List.of(incarnation("i-1@1")));
    TrackedBackend target = former.find("i-1@1");
    BackendTable next = former.with(List.of());
    target.markDraining();
    assertTrue(next.hasLeft("i-1@1"));
  }

  @Test
  public void anIncarnationWithALaterStartIsReplacedByTheOneOnRecordNow() {
    BackendTable former = BackendTable.EMPTY.with(List.of(incarnation("i-1@9")));
    assertFalse(former.isReplaced(Incarnation.of("i-1", 9L)));
    BackendTable next = former.with(List.of(incarnation("i-1@2")));
    assertTrue(next.isReplaced(Incarnation.of("i-1", 9L)));
    assertFalse(next.isReplaced(Incarnation.of("i-1", 5L)), "it never had a record");
    assertFalse(next.with(List.of(incarnation("i-1@9"))).isReplaced(Incarnation.of("i-1", 9L)));
  }

  @Test
  public void fewIncarnationsAreRememberedAsGone() {
    BackendTable table = BackendTable.EMPTY;
    for (long start = 0; start < 1_000; start++) {
      table = table.with(List.of(incarnation("i-1@" + (2_000 - start))));
    }
    assertFalse(table.isReplaced(Incarnation.of("i-1", 2_000L)));
    assertTrue(table.isReplaced(Incarnation.of("i-1", 1_002L)));
  }
}
