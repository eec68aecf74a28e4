package org.lockdale.gateway.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that the text form of an incarnation is parsed back to it, and that names from nodes that
 * send no start time are resolved.
 */
public final class IncarnationTest {

  @DataProvider
  public Object[][] incarnations() {
    return new Object[][] {
      {Incarnation.of("i-1", 1_790_000_000_000L), "i-1@1790000000000"},
      {Incarnation.of("i-1", null), "i-1"},
      {Incarnation.of("i-1", 0L), "i-1@0"},
      {Incarnation.of("i-1", -5L), "i-1@-5"},
      {Incarnation.of("i@7", null), "i@7@"},
      {Incarnation.of("i@7", 8L), "i@7@8"},
      {Incarnation.of("", 8L), "@8"},
    };
  }

  @Test(dataProvider = "incarnations")
  public void theTextFormIdentifiesOneIncarnation(Incarnation incarnation, String text) {
    assertEquals(incarnation.toString(), text);
    assertEquals(Incarnation.parse(text), incarnation);
    assertEquals(Incarnation.parse(text).server(), incarnation.server());
  }

  @Test
  public void theStartTimeDeterminesWhichIncarnationIsEarlier() {
    Incarnation first = Incarnation.of("i-1", 1L);
    Incarnation second = Incarnation.of("i-1", 2L);
    assertTrue(first.isBefore(second));
    assertFalse(second.isBefore(first));
    assertFalse(first.isBefore(first));
    assertFalse(first.isBefore(Incarnation.of("i-2", 2L)));
    assertFalse(Incarnation.of("i-1", null).isBefore(second));
  }

  /**
   * During a rolling update, nodes of the earlier version send ids of servers without a start time.
   */
  @Test
  public void aNameWithoutAStartTimeDenotesThePresentIncarnation() {
    BackendTable table = BackendTable.EMPTY.with(List.of(backend("i-1@2")));
    TrackedBackend present = table.find("i-1@2");
    assertSame(table.resolve("i-1"), present);
    assertSame(table.resolve("i-1@2"), present);
    assertNull(table.resolve("i-1@1"), "a former incarnation");
    assertTrue(present.isAmong(Set.of("i-1")));
    assertFalse(present.isAmong(Set.of("i-1@1")));
  }

  private static Backend backend(String id) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("server", 1);
    return new Backend(id, "pool", address, "zone", 4, false, Map.of());
  }
}
