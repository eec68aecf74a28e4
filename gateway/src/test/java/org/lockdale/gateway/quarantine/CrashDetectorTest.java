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

/** A back end that ended is told from a connection that broke. */
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

  private static Backend backend(String id, InetSocketAddress address, boolean leaving) {
    return new Backend(id, "pool", address, "zone", 4, leaving, Map.of());
  }

  private static LostAttempt lost(String requestId) {
    return new LostAttempt(
        "i-1",
        ADDRESS,
        Requests.of(requestId, "/a", "body"),
        "tenant",
        0,
        LostAttempt.Loss.CLOSED,
        0);
  }

  private BackendCrash lose(String requestId, long nowMillis) {
    return detector.recordLoss(lost(requestId), table, nowMillis);
  }

  @Test
  public void aRefusedConnectionShowsTheEndOfAllThatWasLost() {
    assertNull(lose("r1", 0));
    assertNull(lose("r2", 1));
    BackendCrash end =
        detector.recordUnreachable("i-1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    assertEquals(end.evidence(), CrashEvidence.REFUSES_CONNECTIONS);
    assertEquals(end.lost().size(), 2);
    assertFalse(detector.hasUnresolved());
  }

  /** Callers go on sending to the address of a server that has ended while a proxy takes them. */
  @Test
  public void fewAttemptsWaitForTheRecordOfTheNextLife() {
    lose("r", 0);
    detector.recordUnreachable("i-1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    int counted = 0;
    for (int number = 0; number < 100; number++) {
      CallerRequest request = Requests.of("r" + number, "/a", "body");
      LostAttempt later =
          new LostAttempt("i-1", ADDRESS, request, "tenant", 0, LostAttempt.Loss.CLOSED, 50);
      counted += detector.recordLoss(later, table, 60) == null ? 0 : 1;
    }
    assertEquals(counted, 100 - 64);
  }

  @Test
  public void anAttemptThatIsToldAfterTheEndIsPartOfIt() {
    lose("r1", 0);
    detector.recordUnreachable("i-1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    BackendCrash late = lose("r2", 400);
    assertEquals(late.lost().get(0).request().id(), "r2");
    assertEquals(late.evidence(), CrashEvidence.REFUSES_CONNECTIONS);
  }

  @Test
  public void aBackendThatAnswersALaterAttemptHasNotEnded() {
    lose("r1", 100);
    table.find("i-1").answered(101);
    assertTrue(detector.checkRecords(table, 350).isEmpty());
    assertFalse(detector.hasUnresolved());
  }

  /** A slow node reads late what a back end wrote before its end. */
  @Test
  public void anAnswerToAnEarlierAttemptIsNoSignOfLifeWheneverItIsRead() {
    lose("r1", 100);
    table.find("i-1").answered(100);
    detector.checkRecords(table, 350);
    assertTrue(detector.isUnresolved("i-1"));
  }

  @Test
  public void anotherIncarnationAtTheAddressShowsTheEnd() {
    lose("r1", 0);
    BackendTable after = table.with(List.of(backend("i-2", ADDRESS, false)));
    assertEquals(detector.checkRecords(after, 3_000).get(0).evidence(), CrashEvidence.REPLACED);
  }

  @Test
  public void aRecordThatIsGoneShowsTheEnd() {
    lose("r1", 0);
    BackendTable after = table.with(List.of(backend("i-2", OTHER_ADDRESS, false)));
    assertEquals(detector.checkRecords(after, 3_000).get(0).evidence(), CrashEvidence.RECORD_GONE);
  }

  @Test
  public void oneThatLeavesAsPlannedIsNoEnd() {
    lose("r1", 0);
    BackendTable leaving = table.with(List.of(backend("i-1", ADDRESS, true)));
    assertTrue(detector.checkRecords(leaving, 250).isEmpty());
    assertTrue(detector.checkRecords(table.with(List.of()), 3_000).isEmpty());
  }

  @Test
  public void attemptsAtOneThatLeavesOrHasLeftAreNotWaitedFor() {
    table = table.with(List.of(backend("i-1", ADDRESS, true)));
    lose("r1", 0);
    assertFalse(detector.hasUnresolved());
    table = table.with(List.of());
    lose("r2", 10);
    assertFalse(detector.hasUnresolved());
  }

  /** The store may be away, so that no record tells; innocent requests would be held back. */
  @Test
  public void whatRanOnAServerThatSaidItLeavesIsNoWitnessOfItsEnd() {
    lose("r1", 0);
    table.find("i-1").leave();
    lose("r2", 10);
    assertTrue(detector.checkRecords(table, 250).isEmpty());
    assertFalse(detector.hasUnresolved());
  }

  @Test
  public void whatCannotBeToldIsForgotten() {
    lose("r1", 0);
    assertTrue(detector.checkRecords(table, CrashDetector.RETENTION_MILLIS).isEmpty());
    assertTrue(detector.hasUnresolved());
    assertTrue(detector.checkRecords(table, CrashDetector.RETENTION_MILLIS + 1).isEmpty());
    assertFalse(detector.hasUnresolved());
  }

  /** Without the start an answer of the next life would have settled the end of the former. */
  @Test
  public void theNextLifeUnderTheSameIdShowsTheEnd() {
    table = BackendTable.EMPTY.with(List.of(backend("i-1@1", ADDRESS, false)));
    detector.recordLoss(lostAt("i-1@1", "r1"), table, 0);
    BackendTable after = table.with(List.of(backend("i-1@2", ADDRESS, false)));
    after.find("i-1@2").answered(100);
    assertEquals(detector.checkRecords(after, 250).get(0).evidence(), CrashEvidence.REPLACED);
  }

  @Test
  public void whatIsLostAtTheNextLifeIsNoPartOfTheFormerOnesEnd() {
    table = BackendTable.EMPTY.with(List.of(backend("i-1@1", ADDRESS, false)));
    detector.recordLoss(lostAt("i-1@1", "r1"), table, 0);
    detector.recordUnreachable("i-1@1", CrashEvidence.REFUSES_CONNECTIONS, table, 20);
    BackendTable after = table.with(List.of(backend("i-1@2", ADDRESS, false)));
    assertNull(detector.recordLoss(lostAt("i-1@2", "r2"), after, 400));
    assertTrue(detector.isUnresolved("i-1@2"));
  }

  @Test
  public void anotherInstanceThatAnswersShowsTheEndBeforeTheRecordDoes() {
    lose("r1", 0);
    table.find("i-1").end();
    assertEquals(detector.checkRecords(table, 250).get(0).evidence(), CrashEvidence.REPLACED);
    assertEquals(lose("r2", 300).lost().get(0).request().id(), "r2");
  }

  private static LostAttempt lostAt(String life, String requestId) {
    return new LostAttempt(
        life,
        ADDRESS,
        Requests.of(requestId, "/a", "body"),
        "tenant",
        0,
        LostAttempt.Loss.CLOSED,
        0);
  }
}
