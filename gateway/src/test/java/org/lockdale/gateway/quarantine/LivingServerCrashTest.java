package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.lockdale.gateway.quarantine.LostAttempt.Loss;
import org.lockdale.gateway.quarantine.SuspectFleet.Node;
import org.testng.annotations.Test;

/**
 * Tests that a broken connection to a server that lives on is not counted as a crash in the end,
 * and that a later crash of that server counts.
 */
public final class LivingServerCrashTest extends ThirdCrashScenario {

  @Test
  public void aCrashOfAServerThatWasFoundAliveBeforeCounts() {
    witness.lose(Optional.empty(), "c@1", Loss.CLOSED);
    fleet.run(12_000);
    assertEquals(survivor.knownWeight(), SuspectLedger.SIGNIFICANT_WEIGHT);
    Optional<SuspectAttempt> attempt = witness.send("c@1");
    fleet.run(RUN_MILLIS);
    witness.lose(attempt, "c@1", Loss.CLOSED);
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aSecondBrokenConnectionToALivingServerIsTakenBack() {
    witness.lose(Optional.empty(), "c@1", Loss.CLOSED);
    fleet.run(12_000);
    witness.lose(Optional.empty(), "c@1", Loss.CLOSED);
    fleet.run(100);
    assertTrue(survivor.refuses(), "it counts until the server is known to live");
    fleet.run(12_000);
    assertFalse(survivor.refuses());
    assertEquals(survivor.knownWeight(), SuspectLedger.SIGNIFICANT_WEIGHT);
  }

  private void breakAndTakeBack(Node node) {
    node.lose(Optional.empty(), "c@1", Loss.CLOSED);
    fleet.run(12_000);
    assertEquals(survivor.knownWeight(), SuspectLedger.SIGNIFICANT_WEIGHT);
  }

  @Test
  public void aCrashOfAServerThatWasFoundAliveBeforeCountsByTheRowOfAKilledNode() {
    breakAndTakeBack(fleet.startNode());
    crashAndKillWitness("c@1");
    assertCountedOnceNextIncarnationIsOnRecord();
  }

  @Test
  public void aCrashOfAServerThatWasFoundAliveBeforeCountsAfterItsRecordHasGone() {
    breakAndTakeBack(witness);
    Optional<SuspectAttempt> attempt = witness.send("c@1");
    fleet.run(RUN_MILLIS);
    fleet.removeRecord("c");
    witness.lose(attempt, "c@1", Loss.CLOSED);
    assertCountedOnceNextIncarnationIsOnRecord();
  }
}
