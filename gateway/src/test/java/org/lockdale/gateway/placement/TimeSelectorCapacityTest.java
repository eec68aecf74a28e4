package org.lockdale.gateway.placement;

import static org.lockdale.gateway.placement.PlacementFixtures.engines;
import static org.lockdale.gateway.placement.PlacementFixtures.newPrefix;
import static org.lockdale.gateway.placement.PlacementFixtures.prompt;
import static org.lockdale.gateway.placement.TimeSelectorTest.selector;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.capacity.EngineCapacities;
import org.lockdale.gateway.capacity.EngineCapacity;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that speeds, silence, priorities and room count in the choice by time. */
public final class TimeSelectorCapacityTest {

  private TimeSelector chooser;

  /** Creates a selector without demand for each test. */
  @BeforeMethod
  public void reset() {
    chooser = selector(engine -> BackendWork.NONE, EngineCapacities.UNKNOWN);
  }

  private TrackedBackend choose(List<TrackedBackend> engines, PromptPlacement prompt) {
    return chooser.choose(request(engines, prompt), 0).orElseThrow();
  }

  /**
   * Guards against short urgent prompts that avoid the engines preferred for them because of long
   * prompts there, which they overtake.
   */
  @Test
  public void tokensOfLessUrgentPromptsAheadCountAsOneChunkAtMost() {
    List<TrackedBackend> engines = engines(1);
    PromptPlacement shortPrompt = new PromptPlacement(1, 100, 300);
    choose(engines, shortPrompt);
    choose(engines, prompt("p"));
    engines.get(0).load().open(5_600, 5_600);
    engines.get(0).load().open(5_600, 5_600);
    long forShort = chooser.waitingTokensAhead(engines.get(0), request(engines, shortPrompt));
    long forLong = chooser.waitingTokensAhead(engines.get(0), request(engines, prompt("p")));
    assertTrue(forShort <= TimeCost.CHUNK_TOKENS, "ahead of a short prompt: " + forShort);
    assertEquals(forLong, 11_200);
  }

  private static PlacementRequest request(List<TrackedBackend> engines, PromptPlacement prompt) {
    return new PlacementRequest(
        "pool", "zone-a", engines, Set.of(), prompt, engine -> newPrefix(prompt));
  }

  private static EngineCapacity speed(double speed, long ageMillis, boolean silent) {
    return new EngineCapacity(0, speed, 0, 0, 1, silent, ageMillis);
  }

  private int[] placedOnFastEngines(long ageMillis) {
    List<TrackedBackend> engines = engines(8);
    Set<TrackedBackend> fast = Set.copyOf(engines.subList(0, 4));
    chooser =
        selector(
            engine -> BackendWork.NONE,
            engine -> speed(fast.contains(engine) ? 1.5 : 0.5, ageMillis, false));
    int[] placed = new int[2];
    for (int index = 0; index < 200; index++) {
      PromptPlacement shortPrompt = new PromptPlacement(index % 50, 100, 300);
      placed[0] += fast.contains(choose(engines, shortPrompt)) ? 1 : 0;
      placed[1] += fast.contains(choose(engines, prompt("p" + index % 50))) ? 1 : 0;
    }
    return placed;
  }

  @Test
  public void longPromptsGoToFastEnginesUnlessTheEstimatesAreOld() {
    assertTrue(placedOnFastEngines(100)[1] > 180);
    int whenOld = placedOnFastEngines(11_000)[1];
    assertTrue(whenOld > 20 && whenOld < 180, "long prompts on fast engines: " + whenOld);
  }

  @Test
  public void aSilentEngineIsUsedOnlyWithoutAnother() {
    List<TrackedBackend> engines = engines(2);
    chooser =
        selector(engine -> BackendWork.NONE, engine -> speed(1, 100, engine == engines.get(0)));
    for (int prefix = 0; prefix < 20; prefix++) {
      assertEquals(choose(engines, prompt("p" + prefix)), engines.get(1));
    }
    assertEquals(choose(engines.subList(0, 1), prompt("p")), engines.get(0));
  }

  @Test
  public void aFullEngineIsNotChosen() {
    List<TrackedBackend> engines = engines(3);
    for (int prefix = 0; prefix < 20; prefix++) {
      PromptPlacement prompt = prompt("p" + prefix);
      PlacementRequest request =
          new PlacementRequest(
                  "pool", "zone-a", engines, Set.of(), prompt, engine -> newPrefix(prompt))
              .withConditions(
                  CandidateConditions.NONE.withFull(engine -> engine != engines.get(2)));
      assertEquals(chooser.choose(request, 0).orElseThrow(), engines.get(2));
    }
  }
}
