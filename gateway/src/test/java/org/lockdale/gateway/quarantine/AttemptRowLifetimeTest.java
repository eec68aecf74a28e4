package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests when the row of an attempt is written to the shared store, and when it is removed. */
public final class AttemptRowLifetimeTest extends AttemptJournalFixture {

  @Test
  public void aConcludedAttemptLeavesNoRow() {
    SuspectAttempt second = attempt(1);
    journal.recordStart(ATTEMPT, false);
    journal.recordStart(second, false);
    journal.recordConclusion(ATTEMPT, AttemptOutcome.NOT_LOST);
    assertEquals(rows(), List.of(second), "one is still in progress");
    journal.recordConclusion(second, AttemptOutcome.NOT_LOST);
    assertEquals(rows(), List.of());
  }

  /** Two nodes had sent a request to one backend; the row of both was removed by the first. */
  @Test
  public void aConcludedAttemptLeavesTheRowsOfOtherNodes() {
    AttemptIds otherIds = new AttemptIds("other");
    SuspectAttempt ofOther = attempt(1, otherIds);
    journal.recordStart(ATTEMPT, false);
    newJournal(otherIds).recordStart(ofOther, false);
    journal.recordConclusion(ATTEMPT, AttemptOutcome.NOT_LOST);
    journal.update(rows());
    assertEquals(journal.takeCrashed(table("i-1@2"), NEVER_ALIVE), List.of(ofOther));
  }

  @Test
  public void aRowIsRemovedOnlyAfterItsWriteIsDone() {
    rows.slow = true;
    journal.recordStart(ATTEMPT, false);
    journal.recordConclusion(ATTEMPT, AttemptOutcome.NOT_LOST);
    assertEquals(rows.delayed.size(), 1, "the removal might otherwise reach the store first");
    rows.slow = false;
    rows.delayed.forEach(Runnable::run);
    assertEquals(rows(), List.of());
  }

  @Test
  public void aRowThatTheStoreDidNotTakeIsWrittenLater() {
    rows.unavailable = true;
    journal.recordStart(ATTEMPT, false);
    rows.unavailable = false;
    tickFor(1_000, false);
    assertEquals(rows(), List.of(ATTEMPT));
  }

  /** Otherwise one crash would count twice if it is attributed to the next incarnation. */
  @Test
  public void aReportedAttemptIsNotUnresolvedAndItsRowIsGoneBeforeOthersCountIt() {
    journal.recordStart(ATTEMPT, false);
    journal.recordConclusion(ATTEMPT, AttemptOutcome.REPORTED);
    assertTrue(journal.isInProgress(ATTEMPT.id()));
    assertEquals(unresolvedBackends(0), Set.of());
    tickFor(3_000, false);
    assertEquals(rows(), List.of());
  }

  @Test
  public void anAttemptThatWasConcludedWithoutALossIsNotReportedAsLost() {
    journal.recordStart(ATTEMPT, false);
    rows.unavailable = true;
    journal.recordConclusion(ATTEMPT, AttemptOutcome.NOT_LOST);
    assertTrue(journal.isInProgress(ATTEMPT.id()), "its row could not be removed");
  }

  @Test
  public void aLostAttemptStaysRecordedUntilItsBackendsFateIsKnown() {
    journal.recordStart(ATTEMPT, false);
    journal.recordConclusion(ATTEMPT, AttemptOutcome.UNKNOWN);
    tickFor(9_000, false);
    assertEquals(rows(), List.of(ATTEMPT));
    tickFor(2_000, false);
    assertEquals(rows(), List.of());
  }

  @Test
  public void aRowThatTheStoreDidNotRemoveIsRemovedLater() {
    journal.recordStart(ATTEMPT, false);
    rows.unavailable = true;
    journal.recordConclusion(ATTEMPT, AttemptOutcome.NOT_LOST);
    rows.unavailable = false;
    tickFor(500, false);
    assertEquals(rows(), List.of());
  }

  @Test
  public void rowsOfNodesThatAreGoneAreRemovedByTheCoordinator() {
    journal = newJournal(new AttemptIds("other"));
    rows.present.add(ATTEMPT);
    journal.update(rows());
    tickFor(29_000, true);
    assertEquals(rows(), List.of(ATTEMPT));
    tickFor(2_000, true);
    assertEquals(rows(), List.of());
  }

  @Test
  public void aNodeRecordsFewAttempts() {
    for (int number = 0; number < 100; number++) {
      journal.recordStart(attempt(number), false);
    }
    assertEquals(rows.present.size(), 32);
  }

  @Test
  public void significantSuspectsFindRoomBesideManyOthers() {
    for (int number = 0; number < 100; number++) {
      journal.recordStart(attempt(number), number % 2 == 1);
    }
    assertEquals(rows.present.size(), 64);
  }
}
