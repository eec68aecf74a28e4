package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.lockdale.gateway.quarantine.LostAttempt.Loss;
import org.lockdale.gateway.quarantine.SuspectFleet.Node;
import org.testng.annotations.Test;

/**
 * Tests that the third crash counts, by the row of its attempt, if the node that sent it is killed
 * at the crash, whatever other attempts of the same request do meanwhile.
 */
public final class AttemptRowOrderTest extends ThirdCrashScenario {

  @Test
  public void aRowThatNobodyRemovesCounts() {
    crashAndKillWitness("c@1");
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void anAttemptRefusedByTheCrashedServerLeavesTheRowOfTheOneThatCrashedIt() {
    crashAndKillWitness("c@1");
    survivor.concludeNotRun(survivor.send("c@1"));
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  /** The row was read by all nodes before the other node's attempt was refused. */
  @Test
  public void aNodeThatHasReadTheRowStillCountsItAfterAnotherNodesAttemptWasRefused() {
    Node bystander = fleet.startNode();
    crashAndKillWitness("c@1");
    fleet.run(500);
    survivor.concludeNotRun(survivor.send("c@1"));
    fleet.run(DOWN_MILLIS);
    fleet.putOnRecord("c", 2);
    fleet.run(COUNTED_MILLIS);
    assertTrue(bystander.refuses());
  }

  @Test
  public void anAttemptOfTheKilledNodesNextProcessLeavesTheRowOfItsPreviousOne() {
    crashAndKillWitness("c@1");
    Node next = fleet.startNode();
    next.concludeNotRun(next.send("c@1"));
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void anAttemptRejectedByTheNextIncarnationLeavesTheRowOfThePreviousOne() {
    crashAndKillWitness("c@1");
    Optional<SuspectAttempt> misdirected = survivor.send("c@1");
    survivor.markEnded("c@1");
    survivor.concludeNotRun(misdirected);
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aCopyRejectedBeforeTheCrashLeavesTheRowOfTheCopyThatRuns() {
    Optional<SuspectAttempt> copy = survivor.send("c@1");
    witness.send("c@1");
    survivor.concludeNotRun(copy);
    fleet.run(RUN_MILLIS);
    witness.kill();
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aLostCopyStaysRecordedIfAnotherCopyOfTheSameNodeIsRefusedLast() {
    Optional<SuspectAttempt> first = witness.send("c@1");
    Optional<SuspectAttempt> second = witness.send("c@1");
    fleet.run(RUN_MILLIS);
    witness.lose(first, "c@1", Loss.GIVEN_UP);
    witness.concludeNotRun(second);
    witness.kill();
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aLostAttemptStaysRecordedIfALaterOneOfTheSameNodeIsRefused() {
    Optional<SuspectAttempt> first = witness.send("c@1");
    fleet.run(RUN_MILLIS);
    witness.lose(first, "c@1", Loss.GIVEN_UP);
    fleet.run(100);
    witness.concludeNotRun(witness.send("c@1"));
    witness.kill();
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aRemovalRetriedAfterAStoreOutageLeavesTheRowOfALaterAttempt() {
    Optional<SuspectAttempt> rejected = survivor.send("c@1");
    fleet.storeDown = true;
    survivor.concludeNotRun(rejected);
    fleet.run(10);
    fleet.storeDown = false;
    witness.send("c@1");
    fleet.run(RUN_MILLIS);
    witness.kill();
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aRemovalThatTakesEffectAfterTheNextWriteLeavesTheRowOfTheNextAttempt() {
    fleet.delayingRemovals = true;
    witness.concludeNotRun(witness.send("c@1"));
    witness.send("c@1");
    fleet.applyDelayedChanges();
    fleet.run(RUN_MILLIS);
    witness.kill();
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void theRowOfANodeThatWasKilledIsNotHiddenByAnEarlierCopyOfTheSurvivor() {
    survivor.lose(survivor.send("c@1"), "c@1", Loss.GIVEN_UP);
    fleet.run(9_000);
    crashAndKillWitness("c@1");
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aCopyOfTheSurvivorThatWaitsForTheCrashedServerDoesNotHideTheRow() {
    crashAndKillWitness("c@1");
    survivor.send("c@1");
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  /** What reaches the address of a crashed server behind a proxy is closed. */
  @Test
  public void anAttemptClosedByTheProxyOfTheCrashedServerCountsAtOnce() {
    crashAndKillWitness("c@1");
    survivor.lose(survivor.send("c@1"), "c@1", Loss.CLOSED);
    fleet.run(50);
    assertTrue(survivor.refuses());
  }

  @Test
  public void aCopyOfTheSurvivorInFlightSinceBeforeTheCrashIsCountedOnceItsServerIsReplaced() {
    Optional<SuspectAttempt> copy = survivor.send("c@1");
    crashAndKillWitness("c@1");
    fleet.run(DOWN_MILLIS);
    fleet.putOnRecord("c", 2);
    survivor.lose(copy, "c@1", Loss.SILENT);
    fleet.run(COUNTED_MILLIS);
    assertTrue(survivor.refuses());
  }

  /** Returns how many servers crash until the survivor refuses the request, at most eight. */
  private int crashesUntilRefused(boolean misdirected) {
    int crashes = 2;
    for (long start = 1; start <= 6 && !survivor.refuses(); start++) {
      String backend = "c@" + start;
      crashAndKillWitness(backend);
      crashes++;
      if (misdirected) {
        Optional<SuspectAttempt> attempt = survivor.send(backend);
        survivor.markEnded(backend);
        survivor.concludeNotRun(attempt);
      }
      witness = fleet.startNode();
      fleet.run(DOWN_MILLIS);
      fleet.putOnRecord("c", start + 1);
      fleet.run(COUNTED_MILLIS);
    }
    return crashes;
  }

  @Test
  public void aRequestIsRefusedAfterItsThirdCrashIfNoAttemptIsRejected() {
    assertEquals(crashesUntilRefused(false), 3);
  }

  @Test
  public void aRequestIsRefusedAfterItsThirdCrashAlthoughAttemptsAreRejectedInBetween() {
    assertEquals(crashesUntilRefused(true), 3);
  }
}
