package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.Optional;
import org.lockdale.gateway.quarantine.LostAttempt.Loss;
import org.lockdale.gateway.quarantine.SuspectFleet.Node;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the crash of an incarnation without a record counts once, whoever learns of it. */
public final class NextIncarnationTest {

  private SuspectFleet fleet;
  private Node survivor;
  private Node witness;

  /** A server crashes under another request, and its next incarnation under the guilty one. */
  @BeforeMethod
  public void theNextIncarnationCrashes() {
    fleet = new SuspectFleet("a", "b", "c", "d");
    survivor = fleet.startNode();
    witness = fleet.startNode();
    witness.lose(Optional.empty(), "a@1", Loss.CLOSED);
    fleet.putOnRecord("a", 2);
    fleet.run(500);
    witness.lose(SuspectFleet.innocent(1), "c@1");
    fleet.run(1_000);
    Optional<SuspectAttempt> attempt = witness.send("c@1");
    fleet.run(1_000);
    fleet.removeRecord("c");
    fleet.run(600);
    witness.loseResponseOfNext(attempt, "c@1");
    fleet.run(100);
    assertTwoCrashes();
  }

  private void assertTwoCrashes() {
    assertEquals(survivor.knownWeight(), SuspectLedger.SIGNIFICANT_WEIGHT);
    assertFalse(survivor.refuses());
  }

  @Test
  public void theRowOfItsKilledNodeDoesNotWithholdTheRequest() {
    witness.kill();
    fleet.run(1_000);
    assertTwoCrashes();
  }

  @Test
  public void theRowOfItsKilledNodeDoesNotCountTwice() {
    witness.kill();
    fleet.putOnRecord("c", 2_000);
    fleet.run(3_000);
    assertTwoCrashes();
  }

  /** Another node reports the crash under the right id, and the first one was killed. */
  @Test
  public void theRightIdDoesNotCountBesideIt() {
    witness.kill();
    fleet.rows.keySet().removeIf(key -> key.startsWith("suspect-attempt/"));
    fleet.run(100);
    fleet.putOnRecord("c", 2_000);
    survivor.lose(Optional.empty(), "c@2000", Loss.CLOSED);
    fleet.run(1_000);
    assertTwoCrashes();
  }

  @Test
  public void itStaysCountedOnceWithoutARecord() {
    fleet.run(15_000);
    assertTwoCrashes();
  }
}
