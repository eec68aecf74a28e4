package org.lockdale.gateway.life;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests which observations show that an incarnation is alive, and which may come from the next
 * incarnation of its server.
 */
public final class LivenessEvidenceTest {

  private static final long STEP_MILLIS = 2_000;
  private static final long START_MILLIS = 100_000;

  private Section<BackendTable> backends;
  private LivenessEvidence evidence;
  private TrackedBackend target;

  @BeforeMethod
  public void create() {
    BackendTable table = BackendTable.EMPTY.with(List.of(backend("i-1@1")));
    target = table.find("i-1@1");
    backends = new Section<>(table);
    evidence = new LivenessEvidence(backends::snapshot);
  }

  private static Backend backend(String id) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("backend", 80);
    return new Backend(id, "pool", address, "zone", 4, false, Map.of());
  }

  /** Reads unchanged records every {@link #STEP_MILLIS}. */
  private void publishCurrentRecords(long fromMillis, long untilMillis) {
    for (long at = fromMillis; at <= untilMillis; at += STEP_MILLIS) {
      backends.publish(backends.value(), at);
      evidence.observe();
    }
  }

  private boolean isShownByResponse(long connectedAtMillis, long sentAtMillis) {
    evidence.recordResponse(target, connectedAtMillis, sentAtMillis);
    return target.lastKnownAliveMillis() == sentAtMillis;
  }

  private boolean leadsToTarget(long connectedAtMillis, long nowMillis) {
    return evidence.leadsTo(target, connectedAtMillis, nowMillis);
  }

  @Test
  public void withoutAnOutageEachConnectionLeadsToTheIncarnationOnRecord() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    assertTrue(leadsToTarget(START_MILLIS + 22_000, START_MILLIS + 22_500));
  }

  /** A server came back with other software under its id while a node did not reach the store. */
  @Test
  public void inAnOutageAYoungConnectionMayLeadToTheNextIncarnation() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    long now = START_MILLIS + 25_000;
    assertFalse(leadsToTarget(START_MILLIS + 24_000, now));
    assertFalse(leadsToTarget(START_MILLIS + 19_500, now), "its record may not be read yet");
    assertTrue(leadsToTarget(START_MILLIS + 19_000, now));
  }

  @Test
  public void inAnOutageAConnectionLeadsToAnIncarnationThatWasAliveLater() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    target.recordAlive(START_MILLIS + 23_000);
    assertTrue(leadsToTarget(START_MILLIS + 22_900, START_MILLIS + 25_000));
    assertFalse(leadsToTarget(START_MILLIS + 23_100, START_MILLIS + 25_000));
  }

  @Test
  public void aResponseOverAConnectionThatTheRecordOutlivedShowsThatTheIncarnationIsAlive() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    assertTrue(isShownByResponse(START_MILLIS + 10_000, START_MILLIS + 20_000));
  }

  /**
   * The responses of the next incarnations made three nodes release a request that had crashed
   * three servers.
   */
  @Test
  public void aResponseOverAYoungConnectionMayComeFromTheNextIncarnation() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    assertTrue(!isShownByResponse(START_MILLIS + 10_001, START_MILLIS + 20_000));
  }

  /**
   * The record of a crashed server existed for 6 s while the store did not respond for a moment.
   */
  @Test
  public void aRecordShowsNothingAboutTheTimeInWhichThatOfACrashedServerMayRemain() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    assertEquals(evidence.lastAliveAtMillis(target), START_MILLIS + 10_000);
  }

  /** A store that was unavailable has not yet removed the records that expired in the meantime. */
  @Test
  public void afterAnOutageRecordsMustExistForTheWholeTimeAgain() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    publishCurrentRecords(START_MILLIS + 60_000, START_MILLIS + 68_000);
    assertEquals(evidence.lastAliveAtMillis(target), START_MILLIS + 10_000);
    assertTrue(!isShownByResponse(START_MILLIS + 30_000, START_MILLIS + 68_000));
    publishCurrentRecords(START_MILLIS + 70_000, START_MILLIS + 72_000);
    assertEquals(evidence.lastAliveAtMillis(target), START_MILLIS + 62_000);
  }

  @Test
  public void nothingIsShownOfAnIncarnationThatHasEndedOrWhoseRecordIsGone() {
    publishCurrentRecords(START_MILLIS, START_MILLIS + 20_000);
    target.markEnded();
    assertTrue(!isShownByResponse(START_MILLIS, START_MILLIS + 20_000));
    assertTrue(evidence.lastAliveAtMillis(target) < 0);
    backends.publish(BackendTable.EMPTY, START_MILLIS + 20_000);
    assertTrue(evidence.lastAliveAtMillis(TrackedBackend.of(backend("i-1@1"))) < 0);
  }
}
