package org.lockdale.router.placement;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.coordination.placement.Rendezvous;
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

  /** Share of the shared prefix that the first choice of rendezvous hashing is assumed to hold. */
  private static final double HOME_CONFIDENCE = 0.95;

  /** The same for the second choice, to which all nodes turn when the first is busy. */
  private static final double SECOND_HOME_CONFIDENCE = 0.3;

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
    Homes homes = homesOf(request, engines, groupKeyOf(request, match), nowMillis);
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
   * Returns the key by which a group of prompts finds its home: the prefix of a fixed depth, since
   * all nodes can compute it from the request alone, or less where this node knows that less is
   * shared.
   */
  private static long groupKeyOf(PlacementRequest request, PrefixMatch match) {
    int depth = Math.min(GROUP_DEPTH, request.chain().length());
    if (match.seenDepth() > 0) {
      depth = Math.min(depth, match.seenDepth());
    }
    return depth == 0 ? 0 : request.chain().hashAt(depth - 1);
  }

  /** The first and the second choice of rendezvous hashing. */
  private record Homes(@Nullable EngineView first, @Nullable EngineView second) {}

  private static Homes homesOf(
      PlacementRequest request, EngineTable engines, long key, long nowMillis) {
    EngineView first = null;
    EngineView second = null;
    long highest = 0;
    long nextHighest = 0;
    for (EngineView engine : engines.engines()) {
      if (!isCandidate(request, engine, nowMillis)) {
        continue;
      }
      long weight = Rendezvous.weight(key, engine.identity());
      if (first == null || Long.compareUnsigned(weight, highest) > 0) {
        second = first;
        nextHighest = highest;
        first = engine;
        highest = weight;
      } else if (second == null || Long.compareUnsigned(weight, nextHighest) > 0) {
        second = engine;
        nextHighest = weight;
      }
    }
    return new Homes(first, second);
  }

  private static int believedTokens(
      PlacementRequest request, PrefixMatch match, EngineView engine, Homes homes) {
    double tokens = match.depthAt(engine.identity()) * TOKENS_PER_BLOCK * EVIDENCE_CONFIDENCE;
    int sharedDepth =
        match.seenDepth() > 0 ? match.seenDepth() : Math.min(GROUP_DEPTH, request.chain().length());
    if (engine == homes.first()) {
      tokens = Math.max(tokens, sharedDepth * TOKENS_PER_BLOCK * HOME_CONFIDENCE);
    } else if (engine == homes.second()) {
      tokens = Math.max(tokens, sharedDepth * TOKENS_PER_BLOCK * SECOND_HOME_CONFIDENCE);
    }
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
