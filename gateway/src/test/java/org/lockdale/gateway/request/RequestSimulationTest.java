package org.lockdale.gateway.request;

import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that a request has one source of its response at a time, and one outcome, in whatever
 * order its timers, backends, peers and caller act.
 */
public final class RequestSimulationTest {

  private static final int SEEDS = 200;

  /** Requests that are simulated for each seed and scenario. */
  private static final int REQUESTS = 10;

  /** Length of the sequences of choices that are all gone through. */
  private static final int ALL_CHOICES = 5;

  @DataProvider
  public Object[][] scenarios() {
    return rowsOf(SimulationScenario.all().stream());
  }

  /** Returns the scenarios in which no other node has forwarded the request. */
  @DataProvider
  public Object[][] scenariosOfCallers() {
    return rowsOf(
        SimulationScenario.all().stream().filter(scenario -> !scenario.receivedFromPeer()));
  }

  private static Object[][] rowsOf(Stream<SimulationScenario> scenarios) {
    return scenarios.map(scenario -> new Object[] {scenario}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "scenarios")
  public void eachRequestHasOneSourceAndOneOutcome(SimulationScenario scenario) {
    for (int seed = 0; seed < SEEDS; seed++) {
      for (int request = 0; request < REQUESTS; request++) {
        runSeed(scenario, (long) seed * REQUESTS + request);
      }
    }
  }

  private static void runSeed(SimulationScenario scenario, long seed) {
    try {
      RequestSimulation.run(scenario, Choices.ofSeed(seed));
    } catch (AssertionError broken) {
      throw new AssertionError("seed " + seed + ": " + broken.getMessage(), broken);
    }
  }

  @Test(dataProvider = "scenariosOfCallers")
  public void allShortSequencesHaveOneSourceAndOneOutcome(SimulationScenario scenario) {
    Choices.All choices = new Choices.All(ALL_CHOICES);
    do {
      try {
        RequestSimulation.run(scenario, choices);
      } catch (AssertionError broken) {
        throw new AssertionError("choices " + choices + ": " + broken.getMessage(), broken);
      }
    } while (choices.advance());
  }
}
