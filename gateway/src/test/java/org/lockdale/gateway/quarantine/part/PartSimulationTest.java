package org.lockdale.gateway.quarantine.part;

import static org.testng.Assert.assertTrue;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that requests with parts that crash servers are held back, and that sound ones hardly ever
 * are, whatever else crashes servers.
 */
public final class PartSimulationTest {

  /** Number of seeds; few by default, for CI. Set by {@code -Dquarantine.seeds}. */
  private static final int SEEDS = Integer.getInteger("quarantine.seeds", 2);

  /** Sends after five crashes are known that the deployments tolerate. */
  private static final int ALLOWED_LATE_SENDS = 3;

  /** Share of comparable sound requests, against the share before, that the deployments ask for. */
  private static final double MIN_COMPARABLE_SHARE = 0.5;

  /**
   * Share of the sound requests that are lost in crashes, as many as may be held back on top: what
   * prevents crashes must cost far less than the crashes.
   */
  private static final double MAX_HELD_BACK_PER_LOST = 0.1;

  @DataProvider
  public Object[][] plans() {
    PartPlan one = PartPlan.guilty(1, 1, 1, 3);
    return new Object[][] {
      {"one part", one},
      {"first part", PartPlan.guilty(1, 0, 1, 3)},
      {"third part", PartPlan.guilty(1, 2, 1, 3)},
      {"several callers", PartPlan.guilty(1, 1, 8, 3)},
      {"rare", PartPlan.guilty(1, 1, 1, 0.5)},
      {"frequent", PartPlan.guilty(1, 1, 2, 20)},
      {"two parts", PartPlan.guilty(2, 1, 2, 3)},
      {"eager callers", one.withRepeats(5)},
      {"hot subject", one.withHotSubject(0.3)},
      {"waves of a third", one.withWaves(0.33, 3_000, 3_000)},
      {"waves of half", one.withWaves(0.5, 3_000, 3_000)},
      {"flapping servers", one.withWaves(0.33, 400, 300)},
      {"resets", one.withResets(10)},
      {"disturbed nodes", one.withDisturbances()},
      {"twenty nodes", one.withFleet(20, 24).withWaves(0.33, 3_000, 3_000)},
      {"sound, waves of a third", PartPlan.sound().withWaves(0.33, 3_000, 3_000)},
      {"sound, waves of half", PartPlan.sound().withWaves(0.5, 2_000, 3_000)},
      {"sound, all at once", PartPlan.sound().withWaves(1, 5_000, 3_000)},
      {"sound, flapping", PartPlan.sound().withWaves(0.33, 400, 300).withRepeats(5)},
      {"sound, hot subject", PartPlan.sound().withWaves(0.5, 2_000, 3_000).withHotSubject(0.3)},
      {"sound, resets", PartPlan.sound().withResets(20)},
      {"sound, all else", PartPlan.sound().withWaves(0.5, 3_000, 2_000).withDisturbances()},
    };
  }

  @Test(dataProvider = "plans")
  public void guiltyPartsAreHeldBackAndSoundRequestsGoOn(String name, PartPlan plan) {
    int worst = 0;
    long sound = 0;
    long heldBack = 0;
    long lost = 0;
    long crashes = 0;
    long guilty = 0;
    double leastShare = 1;
    for (int seed = 0; seed < SEEDS; seed++) {
      PartCounts.Result result = new PartSimulation(plan, seed).run();
      worst = Math.max(worst, result.worstLateSends());
      sound += result.soundRequests();
      heldBack += result.soundHeldBack();
      lost += result.lostSound();
      crashes += result.crashes();
      guilty += result.guiltySends();
      leastShare = Math.min(leastShare, result.comparableShare());
    }
    Reporter.log(
        name
            + ": crashes "
            + crashes
            + ", guilty sends "
            + guilty
            + ", late ones at most "
            + worst
            + ", sound requests "
            + sound
            + ", lost "
            + lost
            + ", held back "
            + heldBack
            + ", least share that begins "
            + Math.round(leastShare * 100) / 100.0,
        true);
    assertTrue(worst <= ALLOWED_LATE_SENDS, name + ": " + worst + " late sends");
    assertTrue(heldBack <= lost * MAX_HELD_BACK_PER_LOST, name + ": " + heldBack + " held back");
    assertTrue(leastShare >= MIN_COMPARABLE_SHARE, name + ": " + leastShare);
  }
}
