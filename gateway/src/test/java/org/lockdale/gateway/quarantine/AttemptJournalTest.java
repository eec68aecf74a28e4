package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the rows of attempts of suspects outlive the nodes that wrote them, and count if the
 * backends crash.
 */
public final class AttemptJournalTest extends AttemptJournalFixture {

  private int changes;

  @BeforeMethod
  public void resetChanges() {
    changes = 0;
  }

  /**
   * Three servers crashed, each within 0.2 s before the only node that knew of the crash was
   * killed.
   */
  @Test
  public void attemptOfAKilledNodeCountsOnceItsBackendHasALaterIncarnation() {
    journal.recordStart(ATTEMPT, false);
    AttemptJournal next = newJournal(new AttemptIds("other"));
    next.update(rows());
    assertEquals(next.takeCrashed(table("i-1@1"), NEVER_ALIVE), List.of());
    assertEquals(next.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(ATTEMPT));
    assertEquals(next.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(), "reported once");
  }

  @Test
  public void anIncarnationWithoutARecordCountsAsEndedAfterAWhile() {
    journal = newJournal(new AttemptIds("other"));
    journal.update(List.of(ATTEMPT));
    assertEquals(
        journal.takeCrashed(table("i-2@1"), NEVER_ALIVE),
        List.of(),
        "its record may not be read yet");
    time.runMillis(5_000);
    assertEquals(journal.takeCrashed(table(), NEVER_ALIVE), List.of(), "no record is read");
    assertEquals(journal.takeCrashed(table("i-2@1"), NEVER_ALIVE), List.of(ATTEMPT));
  }

  /** A table that was read before the incarnation started contains the previous one. */
  @Test
  public void aRecordOfAnEarlierIncarnationShowsNothing() {
    journal = newJournal(new AttemptIds("other"));
    journal.update(List.of(ATTEMPT));
    time.runMillis(5_000);
    assertEquals(journal.takeCrashed(table("i-1@0"), NEVER_ALIVE), List.of());
  }

  @Test
  public void anAttemptOfAnotherNodeIsUnresolvedUntilItsBackendHasOutlivedIt() {
    journal = newJournal(new AttemptIds("other"));
    long readAtMillis = time.monotonicMillis();
    journal.update(List.of(ATTEMPT));
    assertEquals(unresolvedBackends(readAtMillis), Set.of("i-1@1"));
    assertEquals(unresolvedBackends(readAtMillis + 1_001), Set.of());
  }

  private void askOwner(boolean runs) {
    journal.askOwners(
        Set.of(ATTEMPT.fingerprint()),
        attempt -> CompletableFuture.completedFuture(runs),
        () -> changes++);
  }

  private void readAfterStart() {
    journal = newJournal(new AttemptIds("other"));
    journal.update(List.of());
    journal.update(List.of(ATTEMPT));
  }

  @Test
  public void anAttemptIsUnresolvedOnceItsNodeDoesNotHaveItInProgress() {
    readAfterStart();
    askOwner(false);
    assertEquals(unresolvedBackends(0), Set.of(), "its node is not asked at once");
    time.runMillis(250);
    askOwner(true);
    assertEquals(unresolvedBackends(0), Set.of());
    time.runMillis(500);
    askOwner(false);
    assertEquals(unresolvedBackends(0), Set.of("i-1@1"));
    assertEquals(changes, 1);
  }

  /** The backend may have crashed after it was known to be alive, when the node was killed. */
  @Test
  public void aBackendHasOutlivedAnAttemptOnlyIfItWasAliveAfterItWasLastInProgress() {
    readAfterStart();
    time.runMillis(9_000);
    askOwner(true);
    time.runMillis(500);
    askOwner(false);
    assertEquals(unresolvedBackends(time.monotonicMillis()), Set.of("i-1@1"));
  }

  @Test
  public void aSignOfLifeBeforeAnAttemptWasLostIsNoProof() {
    readAfterStart();
    long aliveAtMillis = time.monotonicMillis() + 5_000;
    time.runMillis(9_000);
    askOwner(false);
    assertEquals(unresolvedBackends(aliveAtMillis), Set.of("i-1@1"));
  }

  @Test
  public void anAttemptIsNotUnresolvedForeverWithoutAnyEvidence() {
    readAfterStart();
    time.runMillis(250);
    askOwner(false);
    time.runMillis(30_000);
    assertEquals(unresolvedBackends(0), Set.of());
  }

  /** Its node may only have been out of reach when the backend was seen to live. */
  @Test
  public void anAttemptThatItsBackendOutlivedCountsIfTheBackendEnds() {
    readAfterStart();
    time.runMillis(250);
    askOwner(false);
    long aliveAtMillis = time.monotonicMillis() + 1_001;
    assertEquals(journal.takeCrashed(table("i-1@1"), backend -> aliveAtMillis), List.of());
    assertTrue(journal.isOutlived(ATTEMPT));
    time.runMillis(2_000);
    askOwner(true);
    assertFalse(journal.isOutlived(ATTEMPT), "it is still in progress");
    time.runMillis(500);
    askOwner(false);
    assertEquals(journal.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(ATTEMPT));
  }

  /** More attempts may wait for a question than are asked at once. */
  @Test
  public void aCrashCountsAlthoughItsNodeIsNotAsked() {
    readAfterStart();
    assertEquals(
        journal.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(), "its node may report it");
    time.runMillis(1_000);
    assertEquals(journal.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(ATTEMPT));
  }

  /** Something may hold the connection of a crashed server open. */
  @Test
  public void aCrashCountsAlthoughItsNodeHasTheAttemptInProgress() {
    readAfterStart();
    journal.takeCrashed(table("i-1@2"), NEVER_ALIVE);
    time.runMillis(250);
    askOwner(true);
    time.runMillis(1_000);
    assertEquals(
        journal.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(), "it may run on the next one");
    time.runMillis(2_000);
    assertEquals(journal.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(ATTEMPT));
  }

  /**
   * Many suspects after a crash must not keep the attempt of a killed node from being asked for.
   */
  @Test
  public void theNodesOfAllAttemptsAreAskedInTurn() {
    List<SuspectAttempt> attempts = new ArrayList<>();
    for (int number = 0; number < 100; number++) {
      attempts.add(attempt(number));
    }
    journal = newJournal(new AttemptIds("other"));
    journal.update(List.of());
    journal.update(attempts);
    Set<RequestFingerprint> requests = new HashSet<>();
    attempts.forEach(attempt -> requests.add(attempt.fingerprint()));
    Set<SuspectAttempt> asked = new HashSet<>();
    for (int tick = 0; tick < 10; tick++) {
      time.runMillis(250);
      journal.askOwners(
          requests,
          attempt -> {
            asked.add(attempt);
            return CompletableFuture.completedFuture(true);
          },
          () -> {});
    }
    assertEquals(asked.size(), attempts.size());
  }

  @Test
  public void attemptsOfAnEarlierProcessOfThisNodeAreUnresolvedAtOnce() {
    journal = newJournal(new AttemptIds("node"));
    journal.update(List.of());
    journal.update(List.of(ATTEMPT));
    assertEquals(unresolvedBackends(0), Set.of("i-1@1"));
  }

  @Test
  public void anAttemptIsInProgressOnlyInTheProcessThatRecordedIt() {
    journal.recordStart(ATTEMPT, false);
    assertTrue(journal.isInProgress(ATTEMPT.id()));
    AttemptJournal next = newJournal(new AttemptIds("node"));
    next.update(rows());
    assertFalse(next.isInProgress(ATTEMPT.id()));
  }

  /** The caller had left, and the backend crashed afterwards. */
  @Test
  public void aLostAttemptIsUnresolvedUntilItsBackendHasOutlivedIt() {
    journal.recordStart(ATTEMPT, false);
    assertEquals(unresolvedBackends(0), Set.of(), "it is in progress");
    journal.recordConclusion(ATTEMPT, AttemptOutcome.UNKNOWN);
    assertFalse(journal.isInProgress(ATTEMPT.id()));
    assertEquals(unresolvedBackends(time.monotonicMillis()), Set.of("i-1@1"));
    assertEquals(unresolvedBackends(time.monotonicMillis() + 1_001), Set.of());
  }

  @Test
  public void anAttemptThatWasAnsweredIsResolved() {
    journal.recordStart(ATTEMPT, false);
    journal.recordConclusion(ATTEMPT, AttemptOutcome.NOT_LOST);
    journal.update(List.of(ATTEMPT));
    assertEquals(unresolvedBackends(0), Set.of(), "the row was read before it was removed");
  }
}
