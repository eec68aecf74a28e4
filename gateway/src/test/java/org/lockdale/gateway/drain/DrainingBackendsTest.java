package org.lockdale.gateway.drain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that the announcement of draining holds for the rest of the incarnation. */
public final class DrainingBackendsTest {

  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private final List<String> notified = new ArrayList<>();
  private BackendTable table;
  private DrainingBackends draining;

  @BeforeMethod
  public void start() {
    notified.clear();
    table = tableOf("i-1@1", "i-2@1");
    draining = new DrainingBackends(() -> table, notified::addAll, new VirtualTime());
  }

  private static BackendTable tableOf(String... incarnations) {
    List<Backend> records = new ArrayList<>();
    for (String incarnation : incarnations) {
      records.add(new Backend(incarnation, "pool", ADDRESS, "zone", 4, false, Map.of()));
    }
    return BackendTable.EMPTY.with(records);
  }

  @Test
  public void otherNodesAreNotifiedOnceByTheNodeThatReceivedTheAnnouncement() {
    assertTrue(draining.recordAnnouncement(table.find("i-1@1")));
    assertFalse(draining.recordAnnouncement(table.find("i-1@1")));
    assertEquals(notified, List.of("i-1@1"));
  }

  @Test
  public void aNodeThatWasNotifiedDoesNotNotifyOthers() {
    draining.recordNotification("node-2", List.of("i-1@1"));
    assertTrue(table.find("i-1@1").isDraining());
    assertFalse(draining.recordAnnouncement(table.find("i-1@1")));
    assertEquals(notified, List.of());
  }

  @Test
  public void aRecordThatReturnsAsReadyIsStillDraining() {
    draining.recordAnnouncement(table.find("i-1@1"));
    BackendTable back = tableOf("i-1@1", "i-2@1");
    draining.markDraining(back);
    assertFalse(back.find("i-1@1").isServing());
    assertTrue(back.find("i-2@1").isServing());
  }

  @Test
  public void theNextIncarnationOfADrainedServerServes() {
    draining.recordAnnouncement(table.find("i-1@1"));
    BackendTable next = tableOf("i-1@2");
    draining.markDraining(next);
    assertTrue(next.find("i-1@2").isServing());
  }

  @Test
  public void anIncarnationReadAfterTheNotificationIsDraining() {
    draining.recordNotification("node-2", List.of("i-3@1"));
    BackendTable later = tableOf("i-3@1");
    draining.markDraining(later);
    assertTrue(later.find("i-3@1").isDraining());
  }

  @Test
  public void aNameWithoutAStartTimeDoesNotApplyToAnIncarnationWithOne() {
    draining.recordNotification("node-2", List.of("i-1"));
    assertTrue(table.find("i-1@1").isServing());
  }
}
