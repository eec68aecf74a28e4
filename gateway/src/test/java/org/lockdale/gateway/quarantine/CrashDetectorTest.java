package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.caller.CallerRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that crashed backends are distinguished from broken connections. */
public final class CrashDetectorTest {

  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001);
  private static final InetSocketAddress OTHER_ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 7002);

  private CrashDetector detector;
  private BackendTable table;

  @BeforeMethod
  public void start() {
    detector = new CrashDetector();
    table = BackendTable.EMPTY.with(List.of(backend("i-1", ADDRESS, false)));
  }

  private static Backend backend(String id, InetSocketAddress address, boolean draining) {
    return new Backend(id, "pool", address, "zone", 4, draining, Map.of());
  }

  private static LostAttempt lost(String requestId) {
    return new LostAttempt(
        "i-1",
        ADDRESS,
        Requests.of(requestId, "/a", "body"),
        "tenant",
        0,
        LostAttempt.Loss.CLOSED,
        0,
        false,
        0);
  }

  private BackendCrash lose(String requestId, long nowMillis) {
    return detector.recordLoss(lost(requestId), table, nowMillis);
  }

  @Test
  public void aRefusedConnectionShowsTheCrashUnderAllLostAttempts() {
    assertNull(lose("r1", 0));
    assertNull(lose("r2", 1));
    BackendCrash crash =
        detector.recordUnreachable("i-1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    assertEquals(crash.evidence(), CrashEvidence.REFUSES_CONNECTIONS);
    assertEquals(crash.lost().size(), 2);
    assertFalse(detector.hasUnresolved());
  }

  /**
   * Callers continue to send to the address of a crashed server while a proxy accepts their
   * connections.
   */
  @Test
  public void fewAttemptsWaitForTheRecordOfTheNextIncarnation() {
    lose("r", 0);
    detector.recordUnreachable("i-1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    int counted = 0;
    for (int number = 0; number < 100; number++) {
      CallerRequest request = Requests.of("r" + number, "/a", "body");
      LostAttempt later =
          new LostAttempt(
              "i-1", ADDRESS, request, "tenant", 0, LostAttempt.Loss.CLOSED, 50, false, 0);
      counted += detector.recordLoss(later, table, 60) == null ? 0 : 1;
    }
    assertEquals(counted, 100 - 64);
  }

  @Test
  public void anAttemptReportedAfterTheCrashIsPartOfIt() {
    lose("r1", 0);
    detector.recordUnreachable("i-1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    BackendCrash late = lose("r2", 400);
    assertEquals(late.lost().get(0).request().id(), "r2");
    assertEquals(late.evidence(), CrashEvidence.REFUSES_CONNECTIONS);
  }

  @Test
  public void aBackendThatAnswersALaterAttemptHasNotCrashed() {
    lose("r1", 100);
    table.find("i-1").recordAlive(101);
    assertTrue(detector.checkRecords(table, 350).isEmpty());
    assertFalse(detector.hasUnresolved());
  }

  /** A slow node reads a response late that the backend sent before it crashed. */
  @Test
  public void anAnswerToAnEarlierAttemptDoesNotRuleOutACrash() {
    lose("r1", 100);
    table.find("i-1").recordAlive(100);
    detector.checkRecords(table, 350);
    assertTrue(detector.isUnresolved("i-1"));
  }

  @Test
  public void aConnectionClosedAfterItsRecordHasGoneShowsTheCrash() {
    table = table.with(List.of());
    assertEquals(lose("r1", 100).evidence(), CrashEvidence.RECORD_GONE);
  }

  @Test
  public void aConnectionClosedAfterItsBackendHasLeftAsPlannedShowsNoCrash() {
    table = table.with(List.of(backend("i-1", ADDRESS, true))).with(List.of());
    assertNull(lose("r1", 100));
    assertFalse(detector.hasUnresolved());
  }

  @Test
  public void anotherIncarnationAtTheAddressShowsTheCrash() {
    lose("r1", 0);
    BackendTable after = table.with(List.of(backend("i-2", ADDRESS, false)));
    assertEquals(detector.checkRecords(after, 3_000).get(0).evidence(), CrashEvidence.REPLACED);
  }

  @Test
  public void aRemovedRecordShowsTheCrash() {
    lose("r1", 0);
    BackendTable after = table.with(List.of(backend("i-2", OTHER_ADDRESS, false)));
    assertEquals(detector.checkRecords(after, 3_000).get(0).evidence(), CrashEvidence.RECORD_GONE);
  }

  @Test
  public void aPlannedTerminationIsNoCrash() {
    lose("r1", 0);
    BackendTable draining = table.with(List.of(backend("i-1", ADDRESS, true)));
    assertTrue(detector.checkRecords(draining, 250).isEmpty());
    assertTrue(detector.checkRecords(table.with(List.of()), 3_000).isEmpty());
  }

  @Test
  public void attemptsOnADrainingOrRemovedBackendAreNotFollowed() {
    table = table.with(List.of(backend("i-1", ADDRESS, true)));
    lose("r1", 0);
    assertFalse(detector.hasUnresolved());
    table = table.with(List.of());
    lose("r2", 10);
    assertFalse(detector.hasUnresolved());
  }

  /**
   * The store may be unavailable, so that no record shows that the server is draining; innocent
   * requests would be quarantined.
   */
  @Test
  public void aLostAttemptOnADrainingServerShowsNoCrash() {
    lose("r1", 0);
    table.find("i-1").markDraining();
    lose("r2", 10);
    assertTrue(detector.checkRecords(table, 250).isEmpty());
    assertFalse(detector.hasUnresolved());
  }

  @Test
  public void anUnresolvedLossIsDroppedAfterTheRetentionTime() {
    lose("r1", 0);
    assertTrue(detector.checkRecords(table, CrashDetector.RETENTION_MILLIS).isEmpty());
    assertTrue(detector.hasUnresolved());
    assertTrue(detector.checkRecords(table, CrashDetector.RETENTION_MILLIS + 1).isEmpty());
    assertFalse(detector.hasUnresolved());
  }

  /**
   * Without the start time, a response of the next incarnation would have ruled out the crash of
   * the previous one.
   */
  @Test
  public void theNextIncarnationUnderTheSameIdShowsTheCrash() {
    table = BackendTable.EMPTY.with(List.of(backend("i-1@1", ADDRESS, false)));
    detector.recordLoss(lostAt("i-1@1", "r1"), table, 0);
    BackendTable after = table.with(List.of(backend("i-1@2", ADDRESS, false)));
    after.find("i-1@2").recordAlive(100);
    assertEquals(detector.checkRecords(after, 250).get(0).evidence(), CrashEvidence.REPLACED);
  }

  @Test
  public void aLossOnTheNextIncarnationIsNoPartOfThePreviousCrash() {
    table = BackendTable.EMPTY.with(List.of(backend("i-1@1", ADDRESS, false)));
    detector.recordLoss(lostAt("i-1@1", "r1"), table, 0);
    detector.recordUnreachable("i-1@1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    BackendTable after = table.with(List.of(backend("i-1@2", ADDRESS, false)));
    assertNull(detector.recordLoss(lostAt("i-1@2", "r2"), after, 400));
    assertTrue(detector.isUnresolved("i-1@2"));
  }

  @Test
  public void anotherInstanceThatAnswersShowsTheCrashBeforeTheRecordDoes() {
    lose("r1", 0);
    table.find("i-1").markEnded();
    assertEquals(detector.checkRecords(table, 250).get(0).evidence(), CrashEvidence.REPLACED);
    assertEquals(lose("r2", 300).lost().get(0).request().id(), "r2");
  }

  private static LostAttempt lostAt(String id, String requestId) {
    return new LostAttempt(
        id,
        ADDRESS,
        Requests.of(requestId, "/a", "body"),
        "tenant",
        0,
        LostAttempt.Loss.CLOSED,
        0,
        false,
        0);
  }
}
