package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Tests that the crash of a server counts if another server, under another id, takes its address.
 */
public final class ReplacedServerCrashTest extends ThirdCrashScenario {

  /** A server is replaced by one with another id, at its address; its own record expires. */
  private void replaceUnderAnotherId() {
    fleet.run(DOWN_MILLIS);
    fleet.putOnRecordAt("c", "e", 2);
    fleet.run(1_600);
    fleet.removeRecord("c");
    fleet.run(400);
  }

  @Test
  public void aCrashOfAServerReplacedUnderAnotherIdCountsOnceItsRecordHasGone() {
    crashAndKillWitness("c@1");
    replaceUnderAnotherId();
    assertTrue(survivor.refuses(), "four seconds after the crash");
  }

  @Test
  public void aCrashOfAServerReplacedUnderAnotherIdCountsInTheEnd() {
    crashAndKillWitness("c@1");
    replaceUnderAnotherId();
    fleet.run(1_500);
    assertTrue(survivor.refuses(), "five and a half seconds after the crash");
  }

  @Test
  public void aCrashOfAServerReplacedUnderAnotherIdCountsAlthoughEachNodeRunsForFourSeconds() {
    crashAndKillWitness("c@1");
    replaceUnderAnotherId();
    for (int process = 0; process < 4; process++) {
      survivor.kill();
      survivor = fleet.startNode();
      fleet.run(4_000);
    }
    assertTrue(survivor.refuses(), "twenty seconds after the crash");
  }

  /** Returns how many servers crash until the request is refused, at most eight. */
  private int crashesUntilRefused(boolean nodesRestart) {
    String[] servers = {"c", "e", "f", "g", "h", "i", "j"};
    int crashes = 2;
    for (int number = 0; number < 6 && !survivor.refuses(); number++) {
      crashAndKillWitness(servers[number] + "@1");
      crashes++;
      witness = fleet.startNode();
      fleet.run(DOWN_MILLIS);
      fleet.putOnRecordAt(servers[number], servers[number + 1], 1);
      fleet.run(1_600);
      fleet.removeRecord(servers[number]);
      if (nodesRestart) {
        survivor.kill();
        witness.kill();
        survivor = fleet.startNode();
        witness = fleet.startNode();
      }
      fleet.run(COUNTED_MILLIS);
    }
    return crashes;
  }

  @Test
  public void aRequestIsRefusedAfterItsThirdCrashAlthoughServersAreReplacedUnderOtherIds() {
    assertEquals(crashesUntilRefused(false), 3);
  }

  @Test
  public void aRequestIsRefusedAfterItsThirdCrashAlthoughNodesRestartAndServersChangeIds() {
    assertEquals(crashesUntilRefused(true), 3);
  }
}
