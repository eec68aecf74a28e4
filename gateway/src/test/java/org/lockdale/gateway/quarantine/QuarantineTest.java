package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.life.LivenessEvidence;
import org.lockdale.http.Reachability;
import org.testng.annotations.Test;

/**
 * Tests that a request that crashes one server after another is quarantined although no node
 * survives to confirm the crashes. Behind a proxy the address of a crashed server accepted
 * connections, and on a loaded machine closed them later than a probe waits, so a crash was known
 * only when the server's record was gone, 2.4 to 6 s later. The only node that had observed it was
 * killed in that time, 0.1 to 4.3 s after the connection had closed, and the next one did not know
 * of it: the request was sent four to six times after the third crash, in 4 of 12 runs under load.
 */
public final class QuarantineTest extends QuarantineFixture {

  private void loseAtThree(LostAttempt.Loss loss) {
    for (int backend = 0; backend < 3; backend++) {
      lose(backend, loss);
    }
    time.runMillis(SOON_MILLIS);
  }

  @Test
  public void closedConnectionsToThreeBackendsQuarantineARequestBeforeTheirCrashesAreConfirmed() {
    loseAtThree(LostAttempt.Loss.CLOSED);
    assertTrue(isQuarantined());
  }

  /** The next node that decides must know what this one observed, whatever becomes of this one. */
  @Test
  public void aClosedConnectionIsBroadcastAtOnce() {
    lose(0, LostAttempt.Loss.CLOSED);
    time.runMillis(15);
    assertEquals(broadcast.size(), 1);
    assertEquals(broadcast.get(0).weight(), 3);
  }

  @Test
  public void crashesOfBackendsThatAnswerAgainAreRetracted() {
    loseAtThree(LostAttempt.Loss.CLOSED);
    backends.find(idOf(1)).recordAlive(time.monotonicMillis() + 1);
    time.runMillis(500);
    assertFalse(isQuarantined());
  }

  /**
   * A server that has reached its connection limit closes further connections at once, as a proxy
   * does in front of a crashed process; its requests must not be rejected for long.
   */
  @Test
  public void recordsThatStandShowThatServersWhichCloseConnectionsLive() {
    addresses = Reachability.CLOSES;
    loseAtThree(LostAttempt.Loss.CLOSED);
    assertTrue(isQuarantined());
    time.runMillis(RECORD_MILLIS);
    assertFalse(isQuarantined());
  }

  /** While the store is unavailable, the records of crashed servers don't expire. */
  @Test
  public void recordsThatMayBeOutOfDateShowNothing() {
    loseAtThree(LostAttempt.Loss.CLOSED);
    tableIsCurrent = false;
    time.runMillis(5 * RECORD_MILLIS);
    assertTrue(isQuarantined());
    tableIsCurrent = true;
    time.runMillis(RECORD_MILLIS / 2);
    assertTrue(
        isQuarantined(),
        "a table that was just read may still contain records that have expired since");
    time.runMillis(RECORD_MILLIS);
    assertFalse(isQuarantined());
  }

  @Test
  public void crashesThatTheRecordsShowStayCounted() {
    loseAtThree(LostAttempt.Loss.CLOSED);
    backends = backends.with(List.of(backend(3)));
    time.runMillis(5 * RECORD_MILLIS);
    assertTrue(isQuarantined());
  }

  /**
   * A connection broke first, and the server crashed later, while it ran the next attempt of the
   * same request.
   */
  @Test
  public void aCrashAfterTheBackendWasLastKnownAliveStaysCounted() {
    lose(0, LostAttempt.Loss.CLOSED);
    time.runMillis(LivenessEvidence.RECORD_EXPIRY_MILLIS - 2_000);
    loseAtThree(LostAttempt.Loss.CLOSED);
    time.runMillis(4_000);
    assertTrue(isQuarantined(), "the records show only that the first loss was no crash");
  }

  /** Overloaded engines are silent for seconds, and respond to no request sooner. */
  @Test
  public void silenceOfThreeBackendsQuarantinesNothing() {
    loseAtThree(LostAttempt.Loss.SILENT);
    assertFalse(isQuarantined());
  }

  /** If callers disconnect early, no node observes the outcome of their requests. */
  @Test
  public void aRequestGivenUpOnThreeBackendsBeforeTheirRecordsAreGoneIsQuarantined() {
    loseAtThree(LostAttempt.Loss.GIVEN_UP);
    assertFalse(isQuarantined());
    backends = backends.with(List.of(backend(3)));
    time.runMillis(500);
    assertTrue(isQuarantined());
  }

  @Test
  public void aRequestGivenUpOnBackendsThatStayAliveIsNeverQuarantined() {
    loseAtThree(LostAttempt.Loss.GIVEN_UP);
    time.runMillis(5 * RECORD_MILLIS);
    backends = backends.with(List.of(backend(3)));
    time.runMillis(500);
    assertFalse(isQuarantined());
  }

  /**
   * Guards against two crashes that count as one. A server restarted under its id, and a node that
   * had not read its new record sent the request to the previous incarnation. The next incarnation
   * ran the request and crashed too, but the crash was attributed to the previous one; so no row
   * was written, and both crashes were lost when all nodes were killed 1.3 s later. The response
   * had been arriving for 104 ms when the second crash was observed, 2.9 s after the connections of
   * the previous incarnation had closed.
   *
   * <p>The cause: an attempt counted against the incarnation that its node had sent it to,
   * whichever incarnation ran it.
   */
  @Test
  public void aCrashOfTheNextIncarnationIsNotAttributedToThePreviousOne() {
    lose(0, LostAttempt.Loss.CLOSED);
    time.runMillis(2_900);
    String next = "i-0@2";
    backends =
        backends.with(List.of(new Backend(next, "pool", addressOf(0), "zone", 4, false, Map.of())));
    quarantine.attemptLost(
        new LostAttempt(
            idOf(0), addressOf(0), request(), "tenant", 104, LostAttempt.Loss.SILENT, 0, false, 0));
    time.runMillis(SOON_MILLIS);
    assertEquals(broadcastCrashes(), Set.of(idOf(0), next));
  }

  private void loseOverConnectionOf(long connectedAtMillis) {
    quarantine.attemptLost(
        new LostAttempt(
            idOf(0),
            addressOf(0),
            request(),
            "tenant",
            0,
            LostAttempt.Loss.CLOSED,
            connectedAtMillis,
            false,
            0));
    time.runMillis(SOON_MILLIS);
  }

  private Set<String> broadcastCrashes() {
    Set<String> crashes = new TreeSet<>();
    broadcast.forEach(suspect -> crashes.addAll(suspect.crashes().keySet()));
    return crashes;
  }

  /**
   * The request crashed the next incarnation before its record was read and before it sent any
   * response.
   */
  @Test
  public void aCrashOfTheNextIncarnationBeforeItsRecordIsReadIsNoPartOfThePreviousCrash() {
    addresses = Reachability.REFUSES;
    lose(0, LostAttempt.Loss.CLOSED);
    time.runMillis(1_000);
    long startedAt = time.wallMillis();
    time.runMillis(500);
    loseOverConnectionOf(time.monotonicMillis() - 50);
    assertEquals(broadcastCrashes(), Set.of(idOf(0)));
    String next = "i-0@" + startedAt;
    backends =
        backends.with(List.of(new Backend(next, "pool", addressOf(0), "zone", 4, false, Map.of())));
    time.runMillis(500);
    assertEquals(broadcastCrashes(), Set.of(idOf(0), next));
  }

  /** Loses a response that the incarnation after that of the first backend had begun. */
  private void loseResponseOfNextIncarnation() {
    quarantine.attemptLost(
        new LostAttempt(
            idOf(0),
            addressOf(0),
            request(),
            "tenant",
            350,
            LostAttempt.Loss.CLOSED,
            time.monotonicMillis() - 400,
            true,
            0));
    time.runMillis(SOON_MILLIS);
  }

  private void crashTwoBackends() {
    addresses = Reachability.REFUSES;
    lose(0, LostAttempt.Loss.CLOSED);
    lose(1, LostAttempt.Loss.CLOSED);
    time.runMillis(1_500);
    assertFalse(isQuarantined());
  }

  /** Its record may be read seconds later, and the request was sent again meanwhile. */
  @Test
  public void aCrashOfTheNextIncarnationCountsBeforeItsRecordIsRead() {
    crashTwoBackends();
    loseResponseOfNextIncarnation();
    assertTrue(isQuarantined());
    backends = backends.with(List.of(backend(3)));
    time.runMillis(15_000);
    assertTrue(isQuarantined(), "no record of it was ever read");
  }

  @Test
  public void aCrashOfTheNextIncarnationCountsOnceItsRecordIsRead() {
    addresses = Reachability.REFUSES;
    lose(0, LostAttempt.Loss.CLOSED);
    time.runMillis(1_000);
    String next = "i-0@" + time.wallMillis();
    time.runMillis(500);
    loseResponseOfNextIncarnation();
    assertEquals(quarantine.heaviest(1).get(0).weight(), 2 * SuspectLedger.SINGLE_CRASH_WEIGHT);
    backends =
        backends.with(List.of(new Backend(next, "pool", addressOf(0), "zone", 4, false, Map.of())));
    time.runMillis(500);
    assertTrue(broadcastCrashes().contains(next));
    assertEquals(quarantine.heaviest(1).get(0).weight(), 2 * SuspectLedger.SINGLE_CRASH_WEIGHT);
  }

  /** A proxy accepts connections at the address of a crashed server and closes them. */
  @Test
  public void connectionsClosedAtTheAddressOfACrashedBackendCountOnce() {
    crashTwoBackends();
    for (int retry = 0; retry < 5; retry++) {
      loseOverConnectionOf(time.monotonicMillis() - 50);
    }
    assertFalse(isQuarantined());
  }

  private int weightAfterLoss(long responseMillis, long silentMillis) {
    quarantine.attemptLost(
        new LostAttempt(
            idOf(0),
            addressOf(0),
            request(),
            "tenant",
            responseMillis,
            LostAttempt.Loss.CLOSED,
            0,
            true,
            silentMillis));
    time.runMillis(SOON_MILLIS);
    return quarantine.heaviest(1).get(0).weight();
  }

  /** A node that was paused counted the pause as time for which the response had been arriving. */
  @Test
  public void aCrashSoonAfterTheResponseStartedCountsInFullAlthoughItsCloseIsReadLate() {
    assertEquals(weightAfterLoss(2_753, 2_700), SuspectLedger.SINGLE_CRASH_WEIGHT);
  }

  @Test
  public void aCrashLongAfterTheResponseStartedCountsLess() {
    assertEquals(weightAfterLoss(2_753, 50), 2);
  }

  /**
   * No connection had closed on this node when the previous incarnation crashed; the request
   * crashed the next one.
   */
  @Test
  public void aLossOverAConnectionYoungerThanTheNextIncarnationCountsAgainstThatOne() {
    lose(0, LostAttempt.Loss.SILENT);
    time.runMillis(1_000);
    String next = "i-0@" + time.wallMillis();
    time.runMillis(500);
    backends =
        backends.with(List.of(new Backend(next, "pool", addressOf(0), "zone", 4, false, Map.of())));
    loseOverConnectionOf(time.monotonicMillis() - 100);
    assertEquals(broadcastCrashes(), Set.of(idOf(0), next));
  }

  /** A proxy accepts connections in place of a crashed server, and closes them. */
  @Test
  public void anAttemptThatReachedNoServerIsNoCrashOfALaterIncarnation() {
    addresses = Reachability.REFUSES;
    lose(0, LostAttempt.Loss.CLOSED);
    time.runMillis(1_000);
    loseOverConnectionOf(time.monotonicMillis() - 50);
    time.runMillis(1_000);
    String next = "i-0@" + time.wallMillis();
    backends =
        backends.with(List.of(new Backend(next, "pool", addressOf(0), "zone", 4, false, Map.of())));
    time.runMillis(500);
    assertEquals(broadcastCrashes(), Set.of(idOf(0)));
  }
}
