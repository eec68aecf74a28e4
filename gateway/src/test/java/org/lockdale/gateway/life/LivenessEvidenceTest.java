package org.lockdale.gateway.life;

import static org.testng.Assert.assertEquals;
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

/** What shows that a life goes on, and what may be its server's next one. */
public final class LivenessEvidenceTest {

  private static final long STEP_MILLIS = 2_000;
  private static final long START_MILLIS = 100_000;

  private Section<BackendTable> backends;
  private LifeEvidence evidence;
  private TrackedBackend target;

  @BeforeMethod
  public void create() {
    BackendTable table = BackendTable.EMPTY.with(List.of(backend("i-1@1")));
    target = table.find("i-1@1");
    backends = new Section<>(table);
    evidence = new LifeEvidence(backends::snapshot);
  }

  private static Backend backend(String id) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("back-end", 80);
    return new Backend(id, "pool", address, "zone", 4, false, Map.of());
  }

  /** The records are read again and again, and don't change. */
  private void currentFrom(long fromMillis, long untilMillis) {
    for (long at = fromMillis; at <= untilMillis; at += STEP_MILLIS) {
      backends.publish(backends.value(), at);
      evidence.observe();
    }
  }

  private boolean isShownByAnswer(long connectedAtMillis, long sentAtMillis) {
    evidence.answered(target, connectedAtMillis, sentAtMillis);
    return target.aliveAtMillis() == sentAtMillis;
  }

  @Test
  public void anAnswerOverAConnectionThatTheRecordOutlivedShowsThatTheLifeGoesOn() {
    currentFrom(START_MILLIS, START_MILLIS + 20_000);
    assertTrue(isShownByAnswer(START_MILLIS + 10_000, START_MILLIS + 20_000));
  }

  /** Three nodes let a request go that had ended three servers, as the next ones answered. */
  @Test
  public void anAnswerOverAYoungConnectionMayBeTheNextLifesAndTakesNoEndBack() {
    currentFrom(START_MILLIS, START_MILLIS + 20_000);
    assertTrue(!isShownByAnswer(START_MILLIS + 10_001, START_MILLIS + 20_000));
  }

  /** The record of an ended server stood for 6 s while the store was silent for a moment. */
  @Test
  public void aRecordThatStandsShowsNothingOfTheTimeInWhichAnEndedOnesMayStandAsWell() {
    currentFrom(START_MILLIS, START_MILLIS + 20_000);
    assertEquals(evidence.lastAliveAtMillis(target), START_MILLIS + 10_000);
  }

  /** A store that was away has had no time to drop what lapsed meanwhile. */
  @Test
  public void afterAnOutageRecordsMustStandAnew() {
    currentFrom(START_MILLIS, START_MILLIS + 20_000);
    currentFrom(START_MILLIS + 60_000, START_MILLIS + 68_000);
    assertEquals(evidence.lastAliveAtMillis(target), START_MILLIS + 10_000);
    assertTrue(!isShownByAnswer(START_MILLIS + 30_000, START_MILLIS + 68_000));
    currentFrom(START_MILLIS + 70_000, START_MILLIS + 72_000);
    assertEquals(evidence.lastAliveAtMillis(target), START_MILLIS + 62_000);
  }

  @Test
  public void nothingIsShownOfALifeThatIsOverOrWhoseRecordIsGone() {
    currentFrom(START_MILLIS, START_MILLIS + 20_000);
    target.end();
    assertTrue(!isShownByAnswer(START_MILLIS, START_MILLIS + 20_000));
    assertTrue(evidence.lastAliveAtMillis(target) < 0);
    backends.publish(BackendTable.EMPTY, START_MILLIS + 20_000);
    assertTrue(evidence.lastAliveAtMillis(TrackedBackend.of(backend("i-1@1"))) < 0);
  }
}
