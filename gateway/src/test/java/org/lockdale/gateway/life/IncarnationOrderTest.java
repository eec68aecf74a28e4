package org.lockdale.gateway.life;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A late word of a former life changes nothing; a clock that was set back does no lasting harm. */
public final class IncarnationOrderTest {

  private LifeOrder order;

  @BeforeMethod
  public void create() {
    order = new LifeOrder();
  }

  private static Backend life(String id) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("server", 1);
    return new Backend(id, "pool", address, "zone", 4, false, Map.of());
  }

  private String reliedOn(String read, boolean isOver, long nowMillis) {
    return order.order(List.of(life(read)), known -> isOver, nowMillis).get(0).id();
  }

  @Test
  public void aLaterLifeIsTakenAtOnce() {
    assertEquals(reliedOn("i@100", false, 0), "i@100");
    assertEquals(reliedOn("i@200", false, 1), "i@200");
    assertEquals(order.decidesAtMillis(), Long.MAX_VALUE);
  }

  @Test
  public void aLateWordOfAFormerLifeChangesNothing() {
    reliedOn("i@200", false, 0);
    assertEquals(reliedOn("i@100", false, 10), "i@200");
    assertEquals(reliedOn("i@200", false, 500), "i@200");
    assertEquals(order.decidesAtMillis(), Long.MAX_VALUE, "the server has written again");
  }

  @Test
  public void aClockThatWasSetBackIsBelievedOnceTheFormerLifeIsKnownToBeOver() {
    reliedOn("i@200", false, 0);
    assertEquals(reliedOn("i@100", true, 10), "i@100");
  }

  @Test
  public void aClockThatWasSetBackIsBelievedAfterATime() {
    reliedOn("i@200", false, 0);
    assertEquals(reliedOn("i@100", false, 10), "i@200");
    long due = order.decidesAtMillis();
    assertEquals(due, 10 + LifeOrder.STALE_RECORD_MILLIS);
    assertEquals(reliedOn("i@100", false, due - 1), "i@200");
    assertEquals(reliedOn("i@100", false, due), "i@100");
  }

  @Test
  public void aServerThatLeftInBetweenBeginsAnew() {
    reliedOn("i@200", false, 0);
    order.order(List.of(), known -> false, 1);
    assertEquals(reliedOn("i@100", false, 2), "i@100");
  }

  @Test
  public void livesWithoutAStartAreTakenAsTheyCome() {
    reliedOn("i@200", false, 0);
    assertEquals(reliedOn("i", false, 1), "i");
    assertEquals(reliedOn("i@200", false, 2), "i@200");
  }
}
