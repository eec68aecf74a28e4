package org.lockdale.router.placement;

import java.util.Optional;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.router.engine.EngineLoad;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.policy.PolicySet;
import org.lockdale.router.policy.Priority;

/**
 * Chooses the engine of least cost: expected time to first token (waiting, prefill of what is not
 * cached, distance), with prefill weighed above the time it takes. The engine that rendezvous
 * hashing gives to a request's group of prompts is believed to hold their shared prefix, since all
 * nodes send them there; other engines are believed to hold a part of what this node saw them hold.
 * A pure function of its arguments. The weights were chosen by lockdale experiment run, see
 * docs/design/0002-placement.md.
 */
public final class EngineChooser {

  private static final int TOKENS_PER_BLOCK = PrefixChain.BLOCK_BYTES / 4;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Blocks of the prefix that name a group of prompts: 1,024 tokens. */
  private static final int GROUP_DEPTH = 16;

  /**
   * Share of what an engine elsewhere was seen to hold that it is assumed to hold still. It is low
   * on purpose: what every node finds at the home of a group is worth more than a copy only this
   * node knows of.
   */
  private static final double EVIDENCE_CONFIDENCE = 0.5;

  /** How much computing a token counts beyond the time it takes: it also delays all others. */
  private static final double RECOMPUTE_WEIGHT = 8;

  /** Time that a sequence is assumed to keep its place in a full batch. */
  private static final double ASSUMED_SERVICE_MILLIS = 1_000;

  private EngineChooser() {}

  /**
   * Chooses an engine.
   *
   * @param request what is to be placed
   * @param match what is believed of its prefix
   * @param engines all engines
   * @param policies distances between zones
   * @param ownZone zone of this node
   * @param nowMillis monotonic time
   * @return the choice, or empty where no engine may serve the request
   */
  public static Optional<Placement> choose(
      PlacementRequest request,
      PrefixMatch match,
      EngineTable engines,
      PolicySet policies,
      String ownZone,
      long nowMillis) {
    GroupHomes homes = homesOf(request, engines, match, nowMillis);
    Placement best = null;
    double lowestCost = Double.MAX_VALUE;
    for (EngineView engine : engines.engines()) {
      if (!isCandidate(request, engine, nowMillis)) {
        continue;
      }
      int cached = believedTokens(request, match, engine, homes);
      int uncached = request.promptTokens() - cached;
      double hopMillis = 2 * policies.latencyMillis(ownZone, engine.zone());
      double millis = waitMillis(engine) + prefillMillis(engine, uncached) + hopMillis;
      double cost = millis + (RECOMPUTE_WEIGHT - 1) * prefillMillis(engine, uncached);
      if (cost < lowestCost) {
        lowestCost = cost;
        boolean room = hasRoom(engine, request.priorityLevel());
        best = new Placement(engine, cached, millis, room);
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
   * Returns the key by which a group of prompts finds its home: the prefix of a fixed depth, which
   * all nodes can compute from the request alone, whatever they have seen before.
   */
  public static long groupKeyOf(PrefixChain chain) {
    int depth = Math.min(GROUP_DEPTH, chain.length());
    return depth == 0 ? 0 : chain.hashAt(depth - 1);
  }

  private static GroupHomes homesOf(
      PlacementRequest request, EngineTable engines, PrefixMatch match, long nowMillis) {
    GroupHomes homes = new GroupHomes(groupKeyOf(request.chain()));
    for (EngineView engine : engines.engines()) {
      if (isCandidate(request, engine, nowMillis)) {
        homes.offer(engine);
      }
    }
    homes.settle(request.popularity(), match.seenHash());
    return homes;
  }

  private static int believedTokens(
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
   * Returns whether an engine takes one more request of a priority. Requests of high priority may
   * queue inside the engine, which serves them first; others wait at the node, where they can still
   * be ordered and refused.
   */
  private static boolean hasRoom(EngineView engine, int priorityLevel) {
    double allowance = 1 + (double) priorityLevel / Priority.MAX_LEVEL;
    return engine.expectedOccupancy() < engine.load().maxRunning() * allowance;
  }
}
