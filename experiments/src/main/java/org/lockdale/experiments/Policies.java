package org.lockdale.experiments;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.experiments.PlacementPolicy.Choice;
import org.lockdale.router.placement.EngineChooser;
import org.lockdale.router.placement.Placement;
import org.lockdale.router.placement.PlacementRequest;
import org.lockdale.router.placement.Popularity;
import org.lockdale.router.placement.PrefixMatch;
import org.lockdale.router.policy.PolicySet;
import org.lockdale.router.policy.Selector;

/** The placement policies by name: that of the router, the baselines and the oracle. */
final class Policies {

  private static final int TOKENS_PER_BLOCK = PrefixChain.BLOCK_BYTES / 4;

  /** Leading prefix blocks that form the key of consistent hashing: 1,024 tokens. */
  private static final int HASHED_BLOCKS = 16;

  private final Map<String, PlacementPolicy> byName = new HashMap<>();
  private int nextRoundRobin;

  Policies(Scenario scenario, VirtualTime time, UniformRandomProvider random) {
    PolicySet latencyPolicies = latencyPoliciesOf(scenario);
    byName.put(
        "lockdale",
        (node, engines, chain, tokens) ->
            chooseWithRouter(node, engines, chain, tokens, latencyPolicies, time));
    byName.put(
        "round-robin",
        (node, engines, chain, tokens) ->
            new Choice(engines.get(nextRoundRobin++ % engines.size()), tokens));
    byName.put(
        "least-loaded",
        (node, engines, chain, tokens) -> new Choice(chooseLeastLoaded(node, engines), tokens));
    byName.put(
        "two-choices",
        (node, engines, chain, tokens) -> {
          SimulatedEngine first = engines.get(random.nextInt(engines.size()));
          SimulatedEngine second = engines.get(random.nextInt(engines.size()));
          return new Choice(chooseLeastLoaded(node, List.of(first, second)), tokens);
        });
    byName.put(
        "consistent-hash",
        (node, engines, chain, tokens) ->
            new Choice(chooseByConsistentHash(engines, chain), tokens));
    byName.put(
        "oracle",
        (node, engines, chain, tokens) ->
            new Choice(chooseWithActualState(node, engines, chain, tokens, scenario), tokens));
  }

  /** Returns the names of all policies. */
  static Set<String> names() {
    return new TreeSet<>(
        Set.of(
            "lockdale", "round-robin", "least-loaded", "two-choices", "consistent-hash", "oracle"));
  }

  PlacementPolicy find(String name) {
    PlacementPolicy policy = byName.get(name);
    if (policy == null) {
      throw new IllegalArgumentException("no policy '" + name + "'; choose from " + names());
    }
    return policy;
  }

  private static PolicySet latencyPoliciesOf(Scenario scenario) {
    Map<String, Map<String, Double>> latencies = new HashMap<>();
    for (String zone : scenario.zones()) {
      Map<String, Double> toOthers = new HashMap<>();
      scenario.zones().forEach(other -> toOthers.put(other, scenario.zoneLatencyMillis()));
      latencies.put(zone, toOthers);
    }
    return new PolicySet(1, Map.of(), Map.of(), List.of(), Map.of(), latencies);
  }

  private static Choice chooseWithRouter(
      SimulatedNodeView node,
      List<SimulatedEngine> engines,
      PrefixChain chain,
      int promptTokens,
      PolicySet latencyPolicies,
      VirtualTime time) {
    long now = time.monotonicMillis();
    PrefixMatch match = node.prefixes().match(chain, now);
    Popularity popularity = node.popularity().count(chain, match, now);
    PlacementRequest request =
        new PlacementRequest(
            "model", "v1", Selector.EVERYTHING, Set.of(), chain, promptTokens, 500, popularity);
    Placement chosen =
        EngineChooser.choose(request, match, node.engines(), latencyPolicies, node.zone(), now)
            .orElseThrow();
    return new Choice(
        byId(engines, chosen.engine().id()), promptTokens - chosen.estimatedCachedTokens());
  }

  private static SimulatedEngine byId(List<SimulatedEngine> engines, String id) {
    return engines.stream().filter(engine -> engine.id().equals(id)).findFirst().orElseThrow();
  }

  private static SimulatedEngine chooseLeastLoaded(
      SimulatedNodeView node, List<SimulatedEngine> engines) {
    return engines.stream()
        .min(
            Comparator.comparingInt(
                engine ->
                    node.engines()
                        .find(engine.id())
                        .map(view -> view.load().running() + view.load().queued())
                        .orElse(0)))
        .orElseThrow();
  }

  private static SimulatedEngine chooseByConsistentHash(
      List<SimulatedEngine> engines, PrefixChain chain) {
    int depth = Math.min(chain.length(), HASHED_BLOCKS);
    long key = depth == 0 ? 0 : chain.hashAt(depth - 1);
    return engines.stream()
        .max(
            (left, right) ->
                Long.compareUnsigned(
                    Rendezvous.weight(key, left.identity()),
                    Rendezvous.weight(key, right.identity())))
        .orElseThrow();
  }

  /** Estimates as the router does, but from the actual caches and queues of the engines. */
  private static SimulatedEngine chooseWithActualState(
      SimulatedNodeView node,
      List<SimulatedEngine> engines,
      PrefixChain chain,
      int promptTokens,
      Scenario scenario) {
    return engines.stream()
        .min(
            Comparator.comparingDouble(
                engine -> {
                  long cached = (long) engine.actualCachedBlocks(chain) * TOKENS_PER_BLOCK;
                  long prefill = engine.actualPendingTokens() + promptTokens - cached;
                  double millis = prefill * 1_000.0 / engine.report().prefillTokensPerSecond();
                  int excess = Math.max(0, engine.actualActiveAttempts() + 1 - engine.maxRunning());
                  boolean isInOtherZone = !engine.zone().equals(node.zone());
                  return millis
                      + excess * 1_000.0 / engine.maxRunning()
                      + (isInOtherZone ? 2 * scenario.zoneLatencyMillis() : 0);
                }))
        .orElseThrow();
  }
}
