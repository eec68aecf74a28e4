package org.lockdale.gateway.placement;

import static org.lockdale.gateway.placement.PlacementFixtures.engine;
import static org.lockdale.gateway.placement.PlacementFixtures.engines;
import static org.lockdale.gateway.placement.PlacementFixtures.newPrefix;
import static org.lockdale.gateway.placement.PlacementFixtures.prompt;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lockdale.gateway.backend.BackendLoad;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.RemoteLoads;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.MissingPrefix;
import org.lockdale.gateway.caller.PromptPart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * What each selector of backends has to do: prompts go to their home until it is busy, and failing
 * backends are avoided.
 */
abstract class BackendSelectorContract {

  private BackendSelector selector;

  /** Creates a selector without demand for each test. */
  @BeforeMethod
  public void reset() {
    selector = create(engine -> BackendWork.NONE);
  }

  /** Creates a selector that knows the work of other nodes. */
  abstract BackendSelector create(RemoteLoads loads);

  /** Returns a number of waiting prompt tokens with which an engine is busy. */
  abstract int busyTokens();

  /** Makes a backend without prompts so busy that requests go to other zones. */
  abstract void makeBusy(TrackedBackend backend);

  /** Makes the engine of a set so busy that its prompts go to another set. */
  abstract void fill(TrackedBackend engine);

  /** Checks into which sets eight engines are divided. */
  abstract void checkSets(int enginesForShort, int enginesForLong);

  private TrackedBackend choose(List<TrackedBackend> engines, PromptPlacement prompt) {
    return place(engines, Set.of(), prompt, 0).orElseThrow();
  }

  private Optional<TrackedBackend> place(
      List<TrackedBackend> engines, Set<String> excluded, PromptPlacement prompt, long now) {
    return selector.choose(
        new PlacementRequest(
            "pool", "zone-a", engines, excluded, prompt, engine -> newPrefix(prompt)),
        now);
  }

  @Test
  public void promptsOfOnePrefixGoToOneEngineAndPrefixesAreSpread() {
    List<TrackedBackend> engines = engines(8);
    Set<String> homes = new HashSet<>();
    for (int prefix = 0; prefix < 100; prefix++) {
      TrackedBackend first = choose(engines, prompt("p" + prefix));
      assertEquals(choose(engines, prompt("p" + prefix)), first);
      homes.add(first.backend().id());
    }
    assertEquals(homes.size(), 8);
  }

  @Test
  public void aBusyHomeIsAvoidedInFavourOfAnotherEngine() {
    List<TrackedBackend> engines = engines(4);
    TrackedBackend home = choose(engines, prompt("p"));
    home.load().open(20_000, 25_000);
    assertNotEquals(choose(engines, prompt("p")), home);
  }

  @Test
  public void anEngineThatHoldsThePrefixIsPreferredToItsHome() {
    List<TrackedBackend> engines = engines(4);
    PromptPlacement prompt = prompt("p");
    TrackedBackend home = choose(engines, prompt);
    TrackedBackend holder = engines.get(engines.get(0) == home ? 1 : 0);
    TrackedBackend chosen =
        selector
            .choose(
                new PlacementRequest(
                    "pool",
                    "zone-a",
                    engines,
                    Set.of(),
                    prompt,
                    engine -> new MissingPrefix(0, 0, engine == holder ? 0 : 5_000)),
                0)
            .orElseThrow();
    assertEquals(chosen, holder);
  }

  @Test
  public void enginesWithCurrentWeightsGoFirstUntilTheyAreBusy() {
    List<TrackedBackend> engines = engines(8);
    List<TrackedBackend> current = engines.subList(2, 5);
    for (int prefix = 0; prefix < 50; prefix++) {
      assertTrue(current.contains(choose(engines, current, prompt("p" + prefix))));
    }
    current.forEach(engine -> engine.load().open(busyTokens(), busyTokens()));
    for (int prefix = 0; prefix < 50; prefix++) {
      assertFalse(current.contains(choose(engines, current, prompt("p" + prefix))));
    }
  }

  private TrackedBackend choose(
      List<TrackedBackend> engines, List<TrackedBackend> current, PromptPlacement prompt) {
    PlacementRequest request =
        new PlacementRequest(
                "pool", "zone-a", engines, Set.of(), prompt, engine -> newPrefix(prompt))
            .withConditions(
                CandidateConditions.NONE.withOutdated(engine -> !current.contains(engine)));
    return selector.choose(request, 0).orElseThrow();
  }

  /**
   * Guards against a few engines with current weights receiving all prompts. This happened in a
   * rollout that was delayed by crashes and by orders carried out late.
   */
  @Test
  public void whereFewEnginesHaveCurrentWeightsPromptsGoToTheirHomes() {
    List<TrackedBackend> engines = engines(12);
    for (int prefix = 0; prefix < 50; prefix++) {
      PromptPlacement prompt = prompt("p" + prefix);
      assertEquals(choose(engines, List.of(), prompt), choose(engines, prompt));
      assertEquals(choose(engines, engines.subList(0, 2), prompt), choose(engines, prompt));
      assertTrue(engines.subList(0, 3).contains(choose(engines, engines.subList(0, 3), prompt)));
    }
  }

  @Test
  public void workReportedByOtherNodesKeepsPromptsAway() {
    List<TrackedBackend> engines = engines(4);
    TrackedBackend home = choose(engines, prompt("p"));
    BackendSelector informed =
        create(
            engine ->
                engine.equals(home.backend().id())
                    ? new BackendWork(20_000, 0, 2)
                    : BackendWork.NONE);
    PromptPlacement prompt = prompt("p");
    PlacementRequest request =
        new PlacementRequest(
            "pool", "zone-a", engines, Set.of(), prompt, engine -> newPrefix(prompt));
    assertNotEquals(informed.choose(request, 0).orElseThrow(), home);
  }

  @Test
  public void excludedAndEjectedBackendsAreAvoidedWhileThereAreOthers() {
    List<TrackedBackend> engines = engines(3);
    engines.get(0).health().recordUnreachable(0);
    Set<String> excluded = Set.of("i-1");
    for (int request = 0; request < 20; request++) {
      TrackedBackend chosen = place(engines, excluded, prompt("p" + request), 1).orElseThrow();
      assertEquals(chosen.backend().id(), "i-2");
    }
    assertEquals(place(engines, Set.of("i-1", "i-2"), null, 1).orElseThrow().backend().id(), "i-0");
    assertTrue(place(engines, Set.of("i-0", "i-1", "i-2"), null, 1).isEmpty());
  }

  private Optional<TrackedBackend> placeWithBackoff(
      Set<TrackedBackend> backingOff, List<TrackedBackend> engines, PromptPlacement prompt) {
    PlacementRequest request =
        new PlacementRequest(
                "pool", "zone-a", engines, Set.of(), prompt, engine -> newPrefix(prompt))
            .withConditions(CandidateConditions.NONE.withBackingOff(backingOff::contains));
    return selector.choose(request, 1);
  }

  @Test
  public void aBackendThatRequestedABackoffIsNotChosenEvenIfNoOtherIsHealthy() {
    List<TrackedBackend> engines = engines(2);
    Set<TrackedBackend> backingOff = Set.of(engines.get(0));
    engines.get(1).health().recordUnreachable(0);
    for (int request = 0; request < 20; request++) {
      PromptPlacement prompt = prompt("p" + request);
      assertEquals(placeWithBackoff(backingOff, engines, prompt).orElseThrow(), engines.get(1));
    }
    assertTrue(placeWithBackoff(Set.copyOf(engines), engines, null).isEmpty());
  }

  @Test
  public void aBackoffMovesOnlyPrefixesOfTheBackendThatRequestedIt() {
    List<TrackedBackend> engines = engines(8);
    for (int prefix = 0; prefix < 50; prefix++) {
      PromptPlacement prompt = prompt("p" + prefix);
      TrackedBackend home = choose(engines, prompt);
      Set<TrackedBackend> backingOff = Set.of(engines.get(0));
      TrackedBackend chosen = placeWithBackoff(backingOff, engines, prompt).orElseThrow();
      assertTrue(home == engines.get(0) ? chosen != home : chosen == home);
    }
  }

  @Test
  public void requestsWithoutAPromptStayInTheZoneUntilItIsBusy() {
    TrackedBackend local = engine("near", "zone-a");
    TrackedBackend remote = engine("far", "zone-b");
    List<TrackedBackend> both = List.of(remote, local);
    assertEquals(place(both, Set.of(), null, 0).orElseThrow(), local);
    makeBusy(local);
    assertEquals(place(both, Set.of(), null, 0).orElseThrow(), remote);
  }

  /**
   * Sends 93 requests a second, each 20 ms long, for 20 s and returns the number of requests for
   * each backend.
   *
   * @param failing share of requests that fail, 0 to 1, for each backend in order
   */
  private Map<String, Integer> sendWithoutPrompt(List<TrackedBackend> backends, double... failing) {
    Random random = new Random(1);
    Map<String, Integer> sent = new HashMap<>();
    Deque<BackendLoad.Share> open = new ArrayDeque<>();
    for (long now = 0; now < 20_000; now += 11) {
      TrackedBackend chosen = place(backends, Set.of(), null, now).orElseThrow();
      sent.merge(chosen.backend().id(), 1, Integer::sum);
      open.add(chosen.load().open(0, 0));
      if (open.size() > 2) {
        open.remove().end();
      }
      if (random.nextDouble() < failing[backends.indexOf(chosen)]) {
        chosen.health().recordFailure(now);
      } else {
        chosen.health().recordSuccess();
      }
    }
    open.forEach(BackendLoad.Share::end);
    return sent;
  }

  /**
   * Guards against failure rates that never decay: where all backends fail some requests, one that
   * gets no more requests would keep the rate of its last failure, and another one would get nearly
   * all requests (767 of 819 with three backends).
   */
  @Test
  public void backendsThatFailEquallyGetEqualShares() {
    Map<String, Integer> sent = sendWithoutPrompt(engines(3), 0.07, 0.07, 0.07);
    int total = sent.values().stream().mapToInt(Integer::intValue).sum();
    int maxSent = Collections.max(sent.values());
    assertTrue(maxSent < 1.5 * total / 3, sent.toString());
  }

  @Test
  public void aBackendThatFailsOftenGetsFewRequests() {
    Map<String, Integer> sent = sendWithoutPrompt(engines(3), 0.45, 0, 0);
    int total = sent.values().stream().mapToInt(Integer::intValue).sum();
    assertTrue(sent.getOrDefault("i-0", 0) < 0.05 * total, sent.toString());
  }

  @Test
  public void shortAndLongPromptsAreSeparatedWhileBothArrive() {
    List<TrackedBackend> engines = engines(8);
    Set<String> shortHomes = new HashSet<>();
    Set<String> longHomes = new HashSet<>();
    for (int index = 0; index < 400; index++) {
      PromptPlacement shortPrompt =
          PromptPlacement.of(
              List.of(new PromptPart("s" + index % 50, 100), new PromptPart("own", 300)));
      TrackedBackend forShort = choose(engines, shortPrompt);
      TrackedBackend forLong = choose(engines, prompt("p" + index % 50));
      if (index >= 100) {
        shortHomes.add(forShort.backend().id());
        longHomes.add(forLong.backend().id());
      }
    }
    checkSets(shortHomes.size(), longHomes.size());
    assertTrue(shortHomes.stream().noneMatch(longHomes::contains));
  }

  /**
   * Streams occupy slots for seconds with few tokens, so token counts alone don't show that an
   * engine is full.
   */
  @Test
  public void anEngineWithoutAFreeSlotIsAvoidedInFavourOfOneOfTheOtherSet() {
    List<TrackedBackend> engines = engines(8);
    PromptPlacement shortPrompt =
        PromptPlacement.of(List.of(new PromptPart("s", 100), new PromptPart("own", 300)));
    for (int index = 0; index < 100; index++) {
      choose(engines, shortPrompt);
      choose(engines, prompt("p" + index));
    }
    int slots = engines.size() * engines.get(0).backend().slots();
    for (int request = 0; request < slots; request++) {
      TrackedBackend chosen = choose(engines, shortPrompt);
      assertTrue(
          chosen.load().openRequests() < chosen.backend().slots(),
          "request " + request + " waits while there are free slots");
      chosen.load().open(0, 400).recordStart();
    }
  }

  @Test
  public void aSetThatIsBusyOverflowsIntoTheOther() {
    List<TrackedBackend> engines = engines(2);
    PromptPlacement shortPrompt =
        PromptPlacement.of(List.of(new PromptPart("s", 100), new PromptPart("own", 300)));
    for (int index = 0; index < 100; index++) {
      choose(engines, shortPrompt);
      choose(engines, prompt("p" + index));
    }
    TrackedBackend forShort = choose(engines, shortPrompt);
    fill(forShort);
    assertNotEquals(choose(engines, shortPrompt), forShort);
  }
}
