package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.RemoteLoads;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.MissingPrefix;

/**
 * Chooses the backend with the lowest estimated cost. For a prompt the cost is counted in tokens:
 * the work queued ahead of it, and the part of it that has to be computed or fetched. A new prefix
 * goes to its home, the engine that ranks first for it by rendezvous hashing. All nodes derive the
 * same home without exchanging messages, so the prefix is computed only once.
 */
public final class BackendChooser implements BackendSelector {

  /** Cost of fetching a token from another engine, relative to computing it. */
  private static final double FETCH_COST = 0.1;

  /**
   * Extra cost of computing a new prefix elsewhere than at its home, relative to computing it: a
   * node that has not learned of this yet would have the home compute it again.
   */
  private static final double NON_HOME_COST = 0.4;

  /**
   * Cost of computing a token that another engine is already computing, relative to computing it.
   */
  private static final double RECOMPUTE_COST = 3.0;

  /** Cost of a token of a running request, which takes up memory but little time. */
  private static final double RUNNING_COST = 0.05;

  /** Cost of an open request at an engine, in tokens, when a prompt is placed. */
  private static final double REQUEST_COST = 50;

  /**
   * Cost of waiting for a free slot, in tokens. It exceeds {@link #NON_PREFERRED_COST}, since
   * otherwise prompts are queued at engines without a free slot while engines preferred for prompts
   * of the other length have free ones.
   */
  private static final double NO_FREE_SLOT_COST = 8_000;

  /** Cost of each request that already waits for a slot, in tokens. */
  private static final double QUEUED_COST = 200;

  /** Cost of sending a request to another zone, in tokens. */
  private static final double REMOTE_ZONE_COST = 60;

  /** Cost of a failure rate of 1, in tokens. */
  private static final double FAILURE_COST = 20_000;

  /** Cost of an open request at a backend, in tokens, when a request without a prompt is placed. */
  private static final double PROMPTLESS_REQUEST_COST = 100;

  /** Cost of serving a prompt at an engine preferred for prompts of the other length, in tokens. */
  private static final double NON_PREFERRED_COST = 4_000;

  /**
   * Cost of serving with outdated weights, in tokens, in addition to {@link #NON_PREFERRED_COST}. A
   * response computed with outdated weights loses a fifth of its value, a late one two thirds, so
   * engines with current weights receive prompts first, up to a short queue. This also takes load
   * off the other engines, which can then move to the new weights sooner.
   */
  private static final double OUTDATED_COST = 4_000;

  /**
   * Engines with current weights are preferred once they make up at least one in this many. A
   * rollout moves a third of the engines at once. Where engines crash or carry out orders late,
   * fewer have moved; these few would receive all prompts, run out of free slots, and lose all
   * streams with the next crash.
   */
  private static final int MIN_CURRENT_DIVISOR = 4;

  /** Upper bound of the random cost that spreads requests over equally cheap backends. */
  private static final double MAX_TIE_BREAK_COST = 1.0;

  private final RemoteLoads remoteLoads;
  private final DoubleSupplier random;
  private final PromptLengthMix mix;

  /**
   * Creates a chooser.
   *
   * @param remoteLoads work that other nodes have at the backends
   */
  public BackendChooser(RemoteLoads remoteLoads) {
    this(remoteLoads, false);
  }

  /**
   * Creates a chooser.
   *
   * @param remoteLoads work that other nodes have at the backends
   * @param protectsShort whether more engines are preferred for short prompts
   */
  public BackendChooser(RemoteLoads remoteLoads, boolean protectsShort) {
    this(remoteLoads, protectsShort, () -> ThreadLocalRandom.current().nextDouble());
  }

  /**
   * Creates a chooser with a given source of randomness.
   *
   * @param remoteLoads work that other nodes have at the backends
   * @param random returns a random number, at least 0 and less than 1; called by several threads
   */
  public BackendChooser(RemoteLoads remoteLoads, DoubleSupplier random) {
    this(remoteLoads, false, random);
  }

  private BackendChooser(RemoteLoads remoteLoads, boolean protectsShort, DoubleSupplier random) {
    this.remoteLoads = remoteLoads;
    this.mix = new PromptLengthMix(protectsShort);
    this.random = random;
  }

  @Override
  public Optional<TrackedBackend> choose(PlacementRequest request, long nowMillis) {
    List<TrackedBackend> usable = new ArrayList<>(request.candidates().size());
    List<TrackedBackend> ejected = new ArrayList<>();
    boolean noneHealthy = true;
    for (TrackedBackend candidate : request.candidates()) {
      if (!candidate.isAmong(request.excluded())) {
        boolean isEjected = candidate.health().isEjected(nowMillis);
        (isEjected ? ejected : usable).add(candidate);
        noneHealthy &= isEjected || request.conditions().backingOff().test(candidate);
      }
    }
    List<TrackedBackend> considered = usable;
    if (noneHealthy) {
      // Without a backend known to be healthy, one that may have recovered is better than none. One
      // in a backoff has itself requested to be sent no requests, so it stays excluded.
      considered.addAll(ejected);
    }
    List<TrackedBackend> available = without(considered, request.conditions()::isUnavailable);
    PromptPlacement prompt = request.prompt();
    return prompt == null
        ? cheapest(available, candidate -> promptlessCost(candidate, request.zone(), nowMillis))
        : cheapestForPrompt(considered, available, request, prompt, nowMillis);
  }

  /**
   * Returns the candidates without the unavailable ones. The list is copied only where there are
   * any: usually all candidates are available, and a copy for each decision would be wasted.
   */
  private static List<TrackedBackend> without(
      List<TrackedBackend> candidates, Predicate<TrackedBackend> isUnavailable) {
    for (TrackedBackend candidate : candidates) {
      if (isUnavailable.test(candidate)) {
        List<TrackedBackend> available = new ArrayList<>(candidates);
        available.removeIf(isUnavailable);
        return available;
      }
    }
    return candidates;
  }

  private Optional<TrackedBackend> cheapestForPrompt(
      List<TrackedBackend> considered,
      List<TrackedBackend> available,
      PlacementRequest request,
      PromptPlacement prompt,
      long nowMillis) {
    double shortShare = mix.recordAndGetShortShare(request.pool(), prompt);
    List<TrackedBackend> current = new ArrayList<>(considered);
    current.removeIf(request.conditions().outdated());
    boolean currentFirst = current.size() * MIN_CURRENT_DIVISOR >= considered.size();
    List<TrackedBackend> preferred =
        EnginePartition.split(currentFirst ? current : considered, shortShare).preferredFor(prompt);
    Set<TrackedBackend> preferredSet = new HashSet<>(preferred);
    TrackedBackend home = home(preferred, prompt.affinityKey());
    return cheapest(
        available,
        candidate ->
            promptCost(candidate, request.missingPrefixOf().apply(candidate), candidate == home)
                + sharedCost(candidate, request.zone(), nowMillis)
                + (preferredSet.contains(candidate) ? 0 : NON_PREFERRED_COST)
                + (currentFirst && request.conditions().outdated().test(candidate)
                    ? OUTDATED_COST
                    : 0));
  }

  private static Optional<TrackedBackend> cheapest(
      List<TrackedBackend> candidates, ToDoubleFunction<TrackedBackend> costOf) {
    TrackedBackend best = null;
    double lowestCost = Double.MAX_VALUE;
    for (TrackedBackend candidate : candidates) {
      double cost = costOf.applyAsDouble(candidate);
      if (cost < lowestCost) {
        best = candidate;
        lowestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double promptlessCost(TrackedBackend candidate, String zone, long nowMillis) {
    return workAt(candidate).openRequests() * PROMPTLESS_REQUEST_COST
        + sharedCost(candidate, zone, nowMillis);
  }

  @Override
  public long waitingTokens(TrackedBackend candidate) {
    return workAt(candidate).waitingTokens();
  }

  private BackendWork workAt(TrackedBackend candidate) {
    return candidate.load().work().plus(remoteLoads.at(candidate.backend().id()));
  }

  private double promptCost(TrackedBackend candidate, MissingPrefix need, boolean isHome) {
    BackendWork work = workAt(candidate);
    double queue =
        work.waitingTokens()
            + work.runningTokens() * RUNNING_COST
            + work.openRequests() * REQUEST_COST;
    double compute =
        need.unknown() * (isHome ? 1 : 1 + NON_HOME_COST) + need.recomputed() * RECOMPUTE_COST;
    return queue + slotCost(candidate, work) + compute + need.fetchable() * FETCH_COST;
  }

  private static double slotCost(TrackedBackend candidate, BackendWork work) {
    int queued = work.openRequests() - candidate.backend().slots();
    return queued < 0 ? 0 : NO_FREE_SLOT_COST + queued * QUEUED_COST;
  }

  private double sharedCost(TrackedBackend candidate, String zone, long nowMillis) {
    double zoneCost = candidate.backend().zone().equals(zone) ? 0 : REMOTE_ZONE_COST;
    return zoneCost
        + candidate.health().failureRate(nowMillis) * FAILURE_COST
        + random.getAsDouble() * MAX_TIE_BREAK_COST;
  }

  private static @Nullable TrackedBackend home(List<TrackedBackend> candidates, long affinityKey) {
    TrackedBackend best = null;
    for (TrackedBackend candidate : candidates) {
      boolean ranksHigher =
          best == null
              || Long.compareUnsigned(
                      Rendezvous.weight(affinityKey, candidate.identity()),
                      Rendezvous.weight(affinityKey, best.identity()))
                  > 0;
      best = ranksHigher ? candidate : best;
    }
    return best;
  }
}
