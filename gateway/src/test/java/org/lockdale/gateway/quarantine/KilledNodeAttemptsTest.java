package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * Tests that a request is withheld while it isn't known whether its attempts on nodes that were
 * killed have crashed their backends.
 */
public final class KilledNodeAttemptsTest extends QuarantineFixture {

  private static SuspectAttempt attemptOfAnotherNode(int backend) {
    return new SuspectAttempt(
        RequestFingerprint.of(request(), "tenant"),
        RequestFingerprint.sketchOf(request(), "tenant"),
        idOf(backend),
        "0-" + backend + ":other");
  }

  private static Suspect suspectAfterCrashOf(int backend) {
    return new Suspect(
        RequestFingerprint.of(request(), "tenant"),
        RequestFingerprint.sketchOf(request(), "tenant"),
        Map.of(idOf(backend), new CrashInvolvement(true, false)));
  }

  /** Each node was killed before an attempt on record of a killed node counted as a crash. */
  @Test
  public void attemptsOfKilledNodesWithholdARequestHoweverBrieflyNodesRun() {
    for (int process = 0; process < 6; process++) {
      start();
      backends = backends.with(List.of(backend(3)));
      quarantine.updateFromTable(
          List.of(suspectAfterCrashOf(0)),
          List.of(attemptOfAnotherNode(1), attemptOfAnotherNode(2)));
      assertTrue(isQuarantined(), "process " + process);
      time.runMillis(4_000);
      assertTrue(isQuarantined(), "process " + process + ", four seconds later");
    }
  }

  @Test
  public void attemptsOfKilledNodesWithholdARequestOfWhichNoCrashIsOnRecord() {
    quarantine.updateFromTable(
        List.of(), List.of(attemptOfAnotherNode(1), attemptOfAnotherNode(2)));
    assertTrue(isQuarantined());
  }

  @Test
  public void aWithheldRequestOfWhichNoCrashIsOnRecordCanBeReleased() {
    quarantine.updateFromTable(
        List.of(), List.of(attemptOfAnotherNode(1), attemptOfAnotherNode(2)));
    assertTrue(quarantine.release(RequestFingerprint.of(request(), "tenant")));
    time.runMillis(SOON_MILLIS);
    assertFalse(isQuarantined());
  }

  @Test
  public void aRequestIsWithheldOnlyUntilTheBackendsOfItsAttemptsAreKnownToLive() {
    quarantine.updateFromTable(
        List.of(suspectAfterCrashOf(0)), List.of(attemptOfAnotherNode(1), attemptOfAnotherNode(2)));
    assertTrue(isQuarantined());
    time.runMillis(RECORD_MILLIS + CrashDetector.OUTLIVED_MILLIS);
    assertFalse(isQuarantined());
  }

  /** Requests that take long, or repeats at several nodes, must not be withheld. */
  @Test
  public void attemptsInProgressOnNodesThatRunWithholdNothing() {
    attemptOwnersRun = true;
    quarantine.updateFromTable(List.of(), List.of());
    quarantine.updateFromTable(
        List.of(suspectAfterCrashOf(0)), List.of(attemptOfAnotherNode(1), attemptOfAnotherNode(2)));
    for (int second = 0; second < 5; second++) {
      assertFalse(isQuarantined());
      time.runMillis(1_000);
    }
    attemptOwnersRun = false;
    time.runMillis(1_000);
    assertTrue(isQuarantined(), "their nodes were killed");
  }

  @Test
  public void oneUnresolvedAttemptAfterOneCrashWithholdsNothing() {
    quarantine.updateFromTable(List.of(suspectAfterCrashOf(0)), List.of(attemptOfAnotherNode(1)));
    assertFalse(isQuarantined());
  }

  @Test
  public void anAttemptOnABackendWhoseCrashCountsAlreadyIsNoSecondCrash() {
    quarantine.updateFromTable(
        List.of(suspectAfterCrashOf(0)), List.of(attemptOfAnotherNode(0), attemptOfAnotherNode(1)));
    assertFalse(isQuarantined());
  }

  @Test
  public void aRequestThatWasAnsweredIsNotWithheld() {
    quarantine.updateFromTable(
        List.of(suspectAfterCrashOf(0)), List.of(attemptOfAnotherNode(1), attemptOfAnotherNode(2)));
    quarantine.requestAnswered(request(), "tenant");
    time.runMillis(SOON_MILLIS);
    assertFalse(isQuarantined());
  }
}
