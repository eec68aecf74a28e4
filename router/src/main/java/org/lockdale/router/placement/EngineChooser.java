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
 * Chooses the engine with the least expected time to first token: waiting for a place, prefill of
 * what is not cached, and distance. What an engine holds is a belief of this node where it has one;
 * where it has none, the engine that rendezvous hashing gives to the deepest prefix seen so far is
 * favoured, since all other nodes favour the same one. A pure function of its arguments.
 */
public final class EngineChooser {

  private static final int TOKENS_PER_BLOCK = PrefixChain.BLOCK_BYTES / 4;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Share of the seen prefix that the rendezvous choice is assumed to hold without evidence. */
  private static final double HOME_CONFIDENCE = 0.5;

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
    long homeKey = homeKeyOf(request, match);
    EngineView home = homeOf(request, engines, homeKey, nowMillis);
    Placement best = null;
    for (EngineView engine : engines.engines()) {
      if (!isCandidate(request, engine, nowMillis)) {
        continue;
      }
      int cached = believedTokens(request, match, engine, engine == home);
      double millis = expectedMillis(request, engine, cached);
      millis += 2 * policies.latencyMillis(ownZone, engine.zone());
      if (best == null || millis < best.expectedMillis()) {
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

  private static long homeKeyOf(PlacementRequest request, PrefixMatch match) {
    if (match.seenDepth() > 0) {
      return match.seenHash();
    }
    return request.chain().length() > 0 ? request.chain().hashAt(0) : 0;
  }

  private static @Nullable EngineView homeOf(
      PlacementRequest request, EngineTable engines, long key, long nowMillis) {
    EngineView home = null;
    long highest = 0;
    for (EngineView engine : engines.engines()) {
      if (!isCandidate(request, engine, nowMillis)) {
        continue;
      }
      long weight = Rendezvous.weight(key, engine.identity());
      if (home == null || Long.compareUnsigned(weight, highest) > 0) {
        home = engine;
        highest = weight;
      }
    }
    return home;
  }

  private static int believedTokens(
      PlacementRequest request, PrefixMatch match, EngineView engine, boolean isHome) {
    int tokens = match.depthAt(engine.identity()) * TOKENS_PER_BLOCK;
    if (isHome) {
      int depth = Math.max(1, match.seenDepth());
      tokens = Math.max(tokens, (int) (depth * TOKENS_PER_BLOCK * HOME_CONFIDENCE));
    }
    return Math.min(tokens, Math.max(0, request.promptTokens() - 1));
  }

  private static double expectedMillis(
      PlacementRequest request, EngineView engine, int cachedTokens) {
    EngineLoad load = engine.load();
    long prefillTokens =
        load.pendingPromptTokens()
            + engine.activity().tokensSinceReport()
            + request.promptTokens()
            - cachedTokens;
    double prefill = prefillTokens * MILLIS_PER_SECOND / load.prefillTokensPerSecond();
    int excess = engine.expectedOccupancy() + 1 - load.maxRunning();
    double waiting = Math.max(0, excess) * ASSUMED_SERVICE_MILLIS / load.maxRunning();
    return prefill + waiting;
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
