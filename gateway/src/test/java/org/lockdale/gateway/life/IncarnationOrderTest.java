package org.lockdale.gateway.life;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that a late write of an earlier incarnation changes nothing, and that a clock that was set
 * back has no lasting effect.
 */
public final class IncarnationOrderTest {

  private IncarnationOrder order;

  @BeforeMethod
  public void create() {
    order = new IncarnationOrder();
  }

  private static Backend backend(String id) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("server", 1);
    return new Backend(id, "pool", address, "zone", 4, false, Map.of());
  }

  private String accepted(String read, boolean hasEnded, long nowMillis) {
    return order.selectRecords(List.of(backend(read)), known -> hasEnded, nowMillis).get(0).id();
  }

  @Test
  public void aLaterIncarnationIsAcceptedAtOnce() {
    assertEquals(accepted("i@100", false, 0), "i@100");
    assertEquals(accepted("i@200", false, 1), "i@200");
    assertEquals(order.nextDecisionAtMillis(), Long.MAX_VALUE);
  }

  @Test
  public void aLateWriteOfAnEarlierIncarnationChangesNothing() {
    accepted("i@200", false, 0);
    assertEquals(accepted("i@100", false, 10), "i@200");
    assertEquals(accepted("i@200", false, 500), "i@200");
    assertEquals(order.nextDecisionAtMillis(), Long.MAX_VALUE, "the server has written again");
  }

  @Test
  public void anEarlierStartTimeIsAcceptedOnceTheLaterIncarnationHasEnded() {
    accepted("i@200", false, 0);
    assertEquals(accepted("i@100", true, 10), "i@100");
  }

  @Test
  public void anEarlierStartTimeIsAcceptedAfterATime() {
    accepted("i@200", false, 0);
    assertEquals(accepted("i@100", false, 10), "i@200");
    long due = order.nextDecisionAtMillis();
    assertEquals(due, 10 + IncarnationOrder.STALE_RECORD_MILLIS);
    assertEquals(accepted("i@100", false, due - 1), "i@200");
    assertEquals(accepted("i@100", false, due), "i@100");
  }

  @Test
  public void anEarlierStartTimeIsAcceptedIfTheRecordWasGoneInBetween() {
    accepted("i@200", false, 0);
    order.selectRecords(List.of(), known -> false, 1);
    assertEquals(accepted("i@100", false, 2), "i@100");
  }

  @Test
  public void incarnationsWithoutAStartTimeAreAcceptedAsRead() {
    accepted("i@200", false, 0);
    assertEquals(accepted("i", false, 1), "i");
    assertEquals(accepted("i@200", false, 2), "i@200");
  }
}
