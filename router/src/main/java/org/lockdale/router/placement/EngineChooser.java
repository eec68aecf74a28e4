package org.lockdale.router.placement;

import java.util.Optional;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.router.engine.EngineLoad;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.policy.PolicySet;
import org.lockdale.router.policy.Priority;

/**
 * Chooses the engine of least cost. The cost is the expected time to the first token (waiting,
 * prefill of uncached tokens, network latency), in which prefill counts several times. Prompts that
 * begin with the same blocks form a group, and all nodes send a group to the engines that
 * rendezvous hashing selects for it, so these are assumed to hold the shared prefix; other engines
 * are assumed to hold a part of what this node observed. A pure function of its arguments. The
 * weights are based on simulations by {@code lockdale experiment run}; see
 * docs/design/0002-placement.md.
 */
public final class EngineChooser {

  private static final int TOKENS_PER_BLOCK = PrefixChain.BLOCK_BYTES / 4;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Number of prefix blocks that identify a group of prompts: 1,024 tokens. */
  private static final int GROUP_DEPTH = 16;

  /**
   * Fraction of an observed prefix that an engine is assumed to still hold. It is low because the
   * copy at the home of a group, which every node uses, is worth more than one that only this node
   * has observed.
   */
  private static final double EVIDENCE_CONFIDENCE = 0.5;

  /** Cost of prefill relative to its duration, because it also delays all other requests. */
  private static final double RECOMPUTE_WEIGHT = 8;

  /** Time for which a sequence is assumed to occupy a slot of a full batch. */
  private static final double ASSUMED_SERVICE_MILLIS = 1_000;

  private EngineChooser() {}

  /**
   * Chooses an engine.
   *
   * @param request request to place
   * @param match observed holders of its prefix
   * @param engines all engines
   * @param policies provides the latencies between zones
   * @param localZone zone of this node
   * @param nowMillis monotonic time
   * @return the choice, or empty if no engine may serve the request
   */
  public static Optional<Placement> choose(
      PlacementRequest request,
      PrefixMatch match,
      EngineTable engines,
      PolicySet policies,
      String localZone,
      long nowMillis) {
    GroupHomes homes = selectHomes(request, engines, match, nowMillis);
    Placement best = null;
    double lowestCost = Double.MAX_VALUE;
    for (EngineView engine : engines.engines()) {
      if (!isCandidate(request, engine, nowMillis)) {
        continue;
      }
      int cached = estimateCachedTokens(request, match, engine, homes);
      int uncached = request.promptTokens() - cached;
      double hopMillis = 2 * policies.latencyMillis(localZone, engine.zone());
      double millis = waitMillis(engine) + prefillMillis(engine, uncached) + hopMillis;
      double cost = millis + (RECOMPUTE_WEIGHT - 1) * prefillMillis(engine, uncached);
      if (cost < lowestCost) {
        lowestCost = cost;
        boolean hasCapacity = hasCapacity(engine, request.priorityLevel());
        best = new Placement(engine, cached, millis, hasCapacity);
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether an engine may serve a request. */
  public static boolean isCandidate(PlacementRequest request, EngineView engine, long nowMillis) {
    return engine.isUsable(nowMillis)
        && request.weightsVersion().equals(engine.weights().get(request.model()))
        && request.engineSelector().matches(engine.labels())
        && !request.excludedEngines().contains(engine.id());
  }

  /**
   * Returns the key of a prompt's group for rendezvous hashing: the hash of the prefix of a fixed
   * depth, which every node can compute from the request alone.
   */
  public static long groupKeyOf(PrefixChain chain) {
    int depth = Math.min(GROUP_DEPTH, chain.length());
    return depth == 0 ? 0 : chain.hashAt(depth - 1);
  }

  private static GroupHomes selectHomes(
      PlacementRequest request, EngineTable engines, PrefixMatch match, long nowMillis) {
    GroupHomes homes = new GroupHomes(groupKeyOf(request.chain()));
    for (EngineView engine : engines.engines()) {
      if (isCandidate(request, engine, nowMillis)) {
        homes.addCandidate(engine);
      }
    }
    homes.select(request.popularity(), match.seenHash());
    return homes;
  }

  private static int estimateCachedTokens(
      PlacementRequest request, PrefixMatch match, EngineView engine, GroupHomes homes) {
    double tokens = match.depthAt(engine.identity()) * TOKENS_PER_BLOCK * EVIDENCE_CONFIDENCE;
    int sharedDepth = Math.max(match.seenDepth(), Math.min(GROUP_DEPTH, request.chain().length()));
    tokens = Math.max(tokens, sharedDepth * TOKENS_PER_BLOCK * homes.confidenceIn(engine));
    return (int) Math.min(tokens, Math.max(0, request.promptTokens() - 1));
  }

  private static double prefillMillis(EngineView engine, long tokens) {
    return tokens * MILLIS_PER_SECOND / engine.load().prefillTokensPerSecond();
  }

  private static double waitMillis(EngineView engine) {
    EngineLoad load = engine.load();
    long pendingTokens = load.pendingPromptTokens() + engine.activity().tokensSinceReport();
    int excess = engine.expectedOccupancy() + 1 - load.maxRunning();
    return prefillMillis(engine, pendingTokens)
        + Math.max(0, excess) * ASSUMED_SERVICE_MILLIS / load.maxRunning();
  }

  /**
   * Returns whether an engine can accept one more request of a priority. Requests of high priority
   * may queue inside the engine, which serves them first; others wait at the node, where they can
   * still be reordered and rejected.
   */
  private static boolean hasCapacity(EngineView engine, int priorityLevel) {
    double allowance = 1 + (double) priorityLevel / Priority.MAX_LEVEL;
    return engine.expectedOccupancy() < engine.load().maxRunning() * allowance;
  }
}
