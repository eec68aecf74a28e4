package org.lockdale.gateway.life;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Tests that all nodes learn the present incarnation of each server, whatever faults came before.
 */
public final class IncarnationSimulationTest {

  /** Number of seeds; few by default, for CI. Set by {@code -Dlife.seeds}. */
  private static final int SEEDS = Integer.getInteger("life.seeds", 4);

  @Test
  public void allNodesLearnThePresentIncarnations() {
    long sends = 0;
    long misdirected = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      IncarnationSimulation.Result result = new IncarnationSimulation(seed).run();
      String what = "seed " + seed + ": " + result;
      assertEquals(result.left(), 0, what);
      assertEquals(result.wrongAtTheEnd(), 0, what);
      assertEquals(result.wronglyOver(), 0, what);
      assertEquals(result.newerThanHeld(), 0, what);
      assertEquals(result.workLeft(), 0, what);
      sends += result.sends();
      misdirected += result.misdirected();
    }
    Reporter.log(SEEDS + " seeds: " + misdirected + " of " + sends + " rejected", true);
    assertTrue(misdirected < sends / 10, misdirected + " of " + sends);
  }
}
