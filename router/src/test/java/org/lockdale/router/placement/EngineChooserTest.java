package org.lockdale.router.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.coordination.placement.CacheScope;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.router.engine.EngineActivity;
import org.lockdale.router.engine.EngineLoad;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.policy.PolicySet;
import org.lockdale.router.policy.Selector;
import org.testng.annotations.Test;

/** Tests the choice of an engine, the prefix index and cache scopes. */
public final class EngineChooserTest {

  private static final int ENGINES = 8;
  private static final int PROMPT_BYTES = 8_192;
  private static final int PROMPT_TOKENS = PROMPT_BYTES / 4;

  private static EngineView engine(int number, String weights, boolean leaving, int running) {
    String id = "engine-" + number;
    return new EngineView(
        id,
        Rendezvous.identityOf(id),
        InetSocketAddress.createUnresolved("engine", 1),
        "zone",
        Map.of("engine", id),
        "incarnation",
        Map.of("model", weights),
        leaving,
        new EngineLoad(running, 0, running * 1_000L, 32, 20_000, 0),
        new EngineActivity());
  }

  private static EngineTable idleEngines() {
    List<EngineView> engines = new ArrayList<>();
    for (int number = 0; number < ENGINES; number++) {
      engines.add(engine(number, "v1", false, 0));
    }
    return new EngineTable(engines);
  }

  private static PrefixChain chain(int shared, int suffix) {
    byte[] prompt = new byte[PROMPT_BYTES];
    for (int index = 0; index < PROMPT_BYTES; index++) {
      prompt[index] =
          (byte) (index < PROMPT_BYTES - 512 ? shared * 31 + index : suffix * 7 + index);
    }
    return PrefixChain.of(new CacheScope("tenant", "model", "", "v1"), prompt);
  }

  private static PlacementRequest request(
      PrefixChain chain, Selector selector, Set<String> excluded, Popularity popularity) {
    return new PlacementRequest(
        "model", "v1", selector, excluded, chain, PROMPT_TOKENS, 500, popularity);
  }

  private static String choose(PlacementRequest request, PrefixIndex index, EngineTable engines) {
    PrefixMatch match = index.match(request.chain(), 0);
    return EngineChooser.choose(request, match, engines, PolicySet.EMPTY, "zone", 0)
        .map(placement -> placement.engine().id())
        .orElse("none");
  }

  private static PlacementRequest plain(PrefixChain chain) {
    return request(chain, Selector.EVERYTHING, Set.of(), Popularity.RARE);
  }

  private static PrefixIndex emptyIndex() {
    return new PrefixIndex(1_024, 30_000);
  }

  /**
   * Without communication, nodes choose the same engine for a group, and spread groups over
   * engines.
   */
  @Test
  public void nodesAgreeWithoutCommunication() {
    Set<String> homes = new HashSet<>();
    for (int shared = 0; shared < 40; shared++) {
      String first = choose(plain(chain(shared, 1)), emptyIndex(), idleEngines());
      String second = choose(plain(chain(shared, 2)), emptyIndex(), idleEngines());
      assertEquals(first, second);
      homes.add(first);
    }
    assertTrue(homes.size() > ENGINES / 2, homes.toString());
  }

  /** If an engine is removed, only the groups at that engine move. */
  @Test
  public void onlyTheGroupsOfALostEngineMove() {
    for (int shared = 0; shared < 40; shared++) {
      PrefixChain chain = chain(shared, 1);
      String before = choose(plain(chain), emptyIndex(), idleEngines());
      String lost = before.equals("engine-3") ? "engine-4" : "engine-3";
      PlacementRequest without = request(chain, Selector.EVERYTHING, Set.of(lost), Popularity.RARE);
      assertEquals(choose(without, emptyIndex(), idleEngines()), before);
    }
  }

  /**
   * Engines that can't serve are never chosen: other labels or weights, draining, failed, excluded.
   */
  @Test
  public void unsuitableEnginesAreNotChosen() {
    EngineView failed = engine(3, "v1", false, 0);
    failed.activity().recordFailure(0);
    EngineTable engines =
        new EngineTable(
            List.of(
                engine(0, "v0", false, 0),
                engine(1, "v1", true, 0),
                failed,
                engine(4, "v1", false, 0),
                engine(5, "v1", false, 0)));
    Selector notFive =
        new Selector(
            Map.of(),
            List.of(
                new Selector.Requirement("engine", Selector.Operator.NOT_IN, List.of("engine-5"))));
    for (int shared = 0; shared < 20; shared++) {
      PrefixChain chain = chain(shared, 1);
      PlacementRequest request = request(chain, notFive, Set.of(), Popularity.RARE);
      assertEquals(choose(request, emptyIndex(), engines), "engine-4");
      PlacementRequest none = request(chain, notFive, Set.of("engine-4"), Popularity.RARE);
      assertEquals(choose(none, emptyIndex(), engines), "none");
    }
  }

  /** If the home engine is busy, another one is chosen. */
  @Test
  public void aBusyHomeIsAvoided() {
    PrefixChain chain = chain(1, 1);
    String home = choose(plain(chain), emptyIndex(), idleEngines());
    List<EngineView> engines = new ArrayList<>();
    for (int number = 0; number < ENGINES; number++) {
      boolean isHome = home.equals("engine-" + number);
      engines.add(engine(number, "v1", false, isHome ? 32 : 0));
    }
    assertNotEquals(choose(plain(chain), emptyIndex(), new EngineTable(engines)), home);
  }

  /** A popular prefix is served by several engines as its first home fills up. */
  @Test
  public void aPopularPrefixGetsSeveralHomes() {
    PrefixChain chain = chain(1, 1);
    EngineTable engines = idleEngines();
    PlacementRequest hot = request(chain, Selector.EVERYTHING, Set.of(), new Popularity(0.3, 0.3));
    Set<String> used = new HashSet<>();
    for (int sent = 0; sent < 12; sent++) {
      String id = choose(hot, emptyIndex(), engines);
      engines.find(id).orElseThrow().activity().recordSend(64);
      used.add(id);
    }
    assertTrue(used.size() >= 2, used.toString());
  }

  /** The index is bounded, and its entries expire if they are not confirmed. */
  @Test
  public void indexIsBoundedAndEntriesExpire() {
    PrefixIndex index = new PrefixIndex(160, 1_000);
    for (int shared = 0; shared < 200; shared++) {
      index.recordStored(chain(shared, 1), 7, 0);
    }
    assertTrue(index.size() <= 160, String.valueOf(index.size()));
    PrefixChain last = chain(199, 1);
    assertTrue(index.match(last, 500).depthAt(7) > 0);
    assertEquals(index.match(last, 2_000).depthAt(7), 0);
  }

  /** Block hashes of different tenants or weights versions are all distinct. */
  @Test
  public void scopesShareNoBlockHash() {
    byte[] prompt = new byte[PROMPT_BYTES];
    Set<Long> seen = new HashSet<>();
    for (String tenant : List.of("a", "b")) {
      for (String weights : List.of("v1", "v2")) {
        PrefixChain chain = PrefixChain.of(new CacheScope(tenant, "model", "", weights), prompt);
        for (int block = 0; block < chain.length(); block++) {
          assertTrue(seen.add(chain.hashAt(block)), tenant + weights + block);
        }
      }
    }
    assertFalse(seen.isEmpty());
  }
}
