package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.lockdale.gateway.quarantine.LostAttempt.Loss;
import org.lockdale.gateway.quarantine.SuspectFleet.Node;
import org.testng.annotations.BeforeMethod;

/** A request that has crashed two servers, as all nodes know, and is about to crash a third one. */
abstract class ThirdCrashScenario {

  /** Time in milliseconds after a crash until the next incarnation of the server is on record. */
  static final long DOWN_MILLIS = 2_000;

  /** Time in milliseconds within which a node has counted what its tables show. */
  static final long COUNTED_MILLIS = 1_000;

  /** Time in milliseconds for which a server runs the request before it crashes. */
  static final long RUN_MILLIS = 60;

  SuspectFleet fleet;

  /** Node that runs throughout. */
  Node survivor;

  /** Node that is killed at the third crash. */
  Node witness;

  @BeforeMethod
  public void twoCrashesAreKnown() {
    startWithOneCrash();
    witness.lose(Optional.empty(), "b@1", Loss.CLOSED);
    fleet.putOnRecord("a", 2);
    fleet.putOnRecord("b", 2);
    fleet.run(500);
    assertEquals(survivor.knownWeight(), SuspectLedger.SIGNIFICANT_WEIGHT);
    assertFalse(survivor.refuses());
  }

  /** Starts anew, with a request that has crashed one server, as the witness has just observed. */
  void startWithOneCrash() {
    fleet = new SuspectFleet("a", "b", "c", "d");
    survivor = fleet.startNode();
    witness = fleet.startNode();
    witness.lose(Optional.empty(), "a@1", Loss.CLOSED);
  }

  /** Sends the request to a server that crashes under it, and kills the node that sent it. */
  void crashAndKillWitness(String backend) {
    witness.send(backend);
    fleet.run(RUN_MILLIS);
    witness.kill();
  }

  void assertCountedOnceNextIncarnationIsOnRecord() {
    fleet.run(DOWN_MILLIS);
    fleet.putOnRecord("c", 2);
    fleet.run(COUNTED_MILLIS);
    assertTrue(survivor.refuses(), "a node sends the request although it crashed three servers");
    assertEquals(survivor.knownWeight(), SuspectLedger.QUARANTINE_WEIGHT, "counted, not withheld");
  }

  /**
   * A server crashes under another request, and its next incarnation, which has no record, under
   * the guilty one, which has crashed one server before.
   */
  void crashNextIncarnationOfOneServer() {
    startWithOneCrash();
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

  void assertTwoCrashes() {
    assertEquals(survivor.knownWeight(), SuspectLedger.SIGNIFICANT_WEIGHT);
    assertFalse(survivor.refuses());
  }
}
