package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cache.CacheNamespace;
import org.lockdale.gateway.cache.CachePlanner;
import org.lockdale.gateway.cache.CacheTransfer;
import org.lockdale.gateway.cache.MissingPrefix;
import org.lockdale.gateway.cache.PrefixAvailability;
import org.lockdale.gateway.capacity.SilentEngines;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.weights.WeightsPolicy;

/** Decides where a request is served, from the state known to this node. */
public final class PlacementDecider {

  private static final long NO_BACKOFF = Long.MAX_VALUE;

  private static final Predicate<TrackedBackend> ALL_HAVE_ROOM = candidate -> false;

  private final GatewayBlackboard blackboard;
  private final BackendSelector chooser;
  private final CachePlanner cachePlanner;
  private final WeightsPolicy weightsPolicy;
  private final BackendRates rates;
  private final SilentEngines silent;

  /**
   * Creates a decider for which no engine is silent.
   *
   * @param blackboard state known to this node
   * @param chooser compares the costs of backends
   * @param cachePlanner plans transfers of cached prompts
   * @param weightsPolicy decides which versions of weights may serve
   * @param rates limits of the requests to backends that advertise a rate limit
   */
  public PlacementDecider(
      GatewayBlackboard blackboard,
      BackendSelector chooser,
      CachePlanner cachePlanner,
      WeightsPolicy weightsPolicy,
      BackendRates rates) {
    this(blackboard, chooser, cachePlanner, weightsPolicy, rates, SilentEngines.NONE);
  }

  /**
   * Creates a decider.
   *
   * @param blackboard state known to this node
   * @param chooser compares the costs of backends
   * @param cachePlanner plans transfers of cached prompts
   * @param weightsPolicy decides which versions of weights may serve
   * @param rates limits of the requests to backends that advertise a rate limit
   * @param silent engines that have stopped responding
   */
  public PlacementDecider(
      GatewayBlackboard blackboard,
      BackendSelector chooser,
      CachePlanner cachePlanner,
      WeightsPolicy weightsPolicy,
      BackendRates rates,
      SilentEngines silent) {
    this.blackboard = blackboard;
    this.chooser = chooser;
    this.cachePlanner = cachePlanner;
    this.weightsPolicy = weightsPolicy;
    this.rates = rates;
    this.silent = silent;
  }

  /**
   * Decides where a request of this node is served. A placement at a backend that advertises a rate
   * limit counts towards the limit from now on, whether or not the request is sent.
   *
   * @param query the request to place
   * @param nowMillis monotonic time in milliseconds
   */
  public PlacementResult decide(PlacementQuery query, long nowMillis) {
    return new Decision(query, true, ALL_HAVE_ROOM, nowMillis).decide();
  }

  /**
   * Decides where a request is served among the backends that have room for it.
   *
   * @param query the request to place
   * @param forThisNode whether the request is one of this node; if not, the backoffs that backends
   *     requested from this node are ignored
   * @param full accepts backends without room for the request
   * @param nowMillis monotonic time in milliseconds
   * @return {@link PlacementResult#NO_ROOM} if one that could serve the request is full
   */
  public PlacementResult decide(
      PlacementQuery query, boolean forThisNode, Predicate<TrackedBackend> full, long nowMillis) {
    return new Decision(query, forThisNode, full, nowMillis).decide();
  }

  /** Returns the backends that may serve a request, with and without room for it. */
  public List<TrackedBackend> candidates(PlacementQuery query, long nowMillis) {
    return new Decision(query, false, ALL_HAVE_ROOM, nowMillis).candidates;
  }

  /**
   * Decides where a request of another node is served, as {@link #decide} does for this node.
   * Backoffs that backends requested from this node are ignored: they don't apply to the other
   * node, which excludes the backends that requested one from it.
   *
   * @param query the request to place
   * @param nowMillis monotonic time in milliseconds
   */
  public PlacementResult decideForAnother(PlacementQuery query, long nowMillis) {
    return new Decision(query, false, ALL_HAVE_ROOM, nowMillis).decide();
  }

  /** Returns whether a placement at a backend counts towards a rate limit that it advertises. */
  public boolean countsTowardsRateLimit(TrackedBackend target) {
    return rates.isLimited(target.backend().id());
  }

  /**
   * Counts a request that another node has placed without counting it, such as a node that doesn't
   * know the backend's rate limit.
   *
   * @param target backend at which the request was placed
   * @return whether the request may be sent within the share of the limit that this node holds
   */
  public boolean tryCount(TrackedBackend target) {
    return rates.tryTake(target.backend().id());
  }

  /** Returns whether a version of weights is too old for a request to start on it now. */
  public boolean isOutdated(String model, long weights, long nowMillis) {
    Long required = weightsPolicy.requiredVersion(blackboard.weights().value(), model, nowMillis);
    return required != null && weights < required;
  }

  /**
   * Returns the version that an engine has to hold when a request arrives: the version it is known
   * to hold, else the newest. An engine whose weights are unknown has just started, with the newest
   * ones. If it holds others after all, it rejects the request; without an expected version the
   * request could start on any.
   *
   * @return the version, or null where neither is known
   */
  public @Nullable Long expectedWeights(TrackedBackend engine, String model) {
    Long held = engine.weightsOf(model);
    OptionalLong newest = blackboard.weights().value().newest(model);
    return held == null && newest.isPresent() ? Long.valueOf(newest.getAsLong()) : held;
  }

  /** One decision. The cached prefixes are looked up once for each namespace. */
  private final class Decision {

    private final PlacementQuery query;
    private final boolean forThisNode;
    private final Predicate<TrackedBackend> full;
    private final long nowMillis;
    private final List<TrackedBackend> candidates;
    private final Map<String, PrefixAvailability> availabilities = new HashMap<>();

    /** Silent engines that are left out of the candidates, since another one may be chosen. */
    private List<TrackedBackend> silentCandidates = List.of();

    /**
     * Candidates whose rate limit turned out to be used up, since another thread took the last
     * request that it allowed.
     */
    private Set<TrackedBackend> exhausted = Set.of();

    /** The newest version that responses should be based on by now, or null where there is none. */
    private final @Nullable Long due;

    Decision(
        PlacementQuery query, boolean forThisNode, Predicate<TrackedBackend> full, long nowMillis) {
      this.query = query;
      this.forThisNode = forThisNode;
      this.full = full;
      this.nowMillis = nowMillis;
      this.candidates = withoutSilent(candidates());
      String model = query.model();
      this.due =
          model == null
              ? null
              : weightsPolicy.dueVersion(blackboard.weights().value(), model, nowMillis);
    }

    PlacementResult decide() {
      PromptPlacement prompt = query.parts().isEmpty() ? null : PromptPlacement.of(query.parts());
      PlacementRequest request =
          new PlacementRequest(
              query.pool(),
              query.zone(),
              candidates,
              query.excluded(),
              prompt,
              this::needOf,
              new CandidateConditions(
                  this::isBehindDueVersion, this::isAtRateLimit, this::isBackingOff, full),
              query.terms());
      Optional<TrackedBackend> probed = probed();
      if (probed.isPresent()) {
        return new PlacementResult.Placed(placed(probed.get(), request));
      }
      Optional<TrackedBackend> chosen = chooser.choose(request, nowMillis);
      while (chosen.isPresent() && !rates.tryTake(chosen.get().backend().id())) {
        exhausted = with(exhausted, chosen.get());
        chosen = chooser.choose(request, nowMillis);
      }
      return chosen.isPresent()
          ? new PlacementResult.Placed(placed(chosen.get(), request))
          : noneAvailable();
    }

    /**
     * Returns the candidates without the silent engines. All are returned if no other engine could
     * be chosen: one that may respond again is better than none.
     */
    private List<TrackedBackend> withoutSilent(List<TrackedBackend> usable) {
      if (!silent.isAnySilent()) {
        return usable;
      }
      List<TrackedBackend> quiet = usable.stream().filter(silent::isSilent).toList();
      boolean othersLeft =
          usable.stream()
              .anyMatch(tracked -> !quiet.contains(tracked) && !tracked.isAmong(query.excluded()));
      if (quiet.isEmpty() || !othersLeft) {
        return usable;
      }
      silentCandidates = quiet;
      usable.removeAll(quiet);
      return usable;
    }

    /**
     * Returns a silent engine that is due to be tried, or empty if there is none. Its cost plays no
     * part: its recent failures would keep it from being chosen for seconds after it has recovered.
     */
    private Optional<TrackedBackend> probed() {
      for (TrackedBackend engine : silentCandidates) {
        boolean available =
            silent.isProbeDue(engine, nowMillis)
                && !engine.isAmong(query.excluded())
                && !isBackingOff(engine)
                && !isAtRateLimit(engine);
        if (available
            && silent.tryProbe(engine, nowMillis)
            && rates.tryTake(engine.backend().id())) {
          return Optional.of(engine);
        }
      }
      return Optional.empty();
    }

    private static Set<TrackedBackend> with(Set<TrackedBackend> some, TrackedBackend another) {
      Set<TrackedBackend> more = new HashSet<>(some);
      more.add(another);
      return more;
    }

    private boolean isAtRateLimit(TrackedBackend candidate) {
      return !rates.hasRoom(candidate.backend().id()) || exhausted.contains(candidate);
    }

    private boolean isBackingOff(TrackedBackend candidate) {
      return forThisNode && candidate.backoff().isActive(nowMillis);
    }

    /**
     * Returns the result where no candidate is available. Waiting for a backend that accepts
     * requests again soon is better than sending the request to one that is known to fail.
     */
    private PlacementResult noneAvailable() {
      List<String> atRateLimit = new ArrayList<>();
      long backoffMillis = NO_BACKOFF;
      for (TrackedBackend candidate : candidates) {
        if (candidate.isAmong(query.excluded())) {
          continue;
        }
        if (isBackingOff(candidate)) {
          backoffMillis = Math.min(backoffMillis, candidate.backoff().remainingMillis(nowMillis));
        } else if (isAtRateLimit(candidate)) {
          atRateLimit.add(candidate.backend().id());
        } else if (full.test(candidate)) {
          return PlacementResult.NO_ROOM;
        }
      }
      return atRateLimit.isEmpty() && backoffMillis == NO_BACKOFF
          ? PlacementResult.NO_CANDIDATE
          : new PlacementResult.RetryLater(
              rates.retryAfterMillis(query.pool(), atRateLimit, backoffMillis));
    }

    private Placement placed(TrackedBackend target, PlacementRequest request) {
      PromptPlacement prompt = request.prompt();
      long computed = prompt == null ? 0 : needOf(target).computed();
      Long weights = weightsOf(target);
      // Without known weights nothing is transferred, since the namespace could hold prompts
      // computed with other weights.
      CacheTransfer transfer =
          weights == null || prompt == null
              ? CacheTransfer.NONE
              : cachePlanner.plan(target, candidates, availabilityFor(target), nowMillis);
      return new Placement(
          target, weights, transfer, computed, chooser.waitingTokensAhead(target, request), null);
    }

    private List<TrackedBackend> candidates() {
      String model = query.model();
      Long required =
          model == null
              ? null
              : weightsPolicy.requiredVersion(blackboard.weights().value(), model, nowMillis);
      List<TrackedBackend> usable = new ArrayList<>();
      for (TrackedBackend tracked : blackboard.backends().value().ofPool(query.pool())) {
        boolean serves = tracked.isServing() && !isMoving(tracked) && hasQueriedSoftware(tracked);
        if (serves && meetsRequiredVersion(tracked, required)) {
          usable.add(tracked);
        }
      }
      return usable;
    }

    private boolean hasQueriedSoftware(TrackedBackend tracked) {
      String version = query.softwareVersion();
      return version == null || version.equals(tracked.backend().softwareVersion());
    }

    private boolean isMoving(TrackedBackend tracked) {
      String model = query.model();
      return model != null && blackboard.rollout().value().isMoving(tracked, model, nowMillis);
    }

    private boolean meetsRequiredVersion(TrackedBackend tracked, @Nullable Long required) {
      Long held = weightsOf(tracked);
      return required == null || held == null || held >= required;
    }

    private @Nullable Long weightsOf(TrackedBackend tracked) {
      String model = query.model();
      return model == null ? null : expectedWeights(tracked, model);
    }

    /**
     * Returns whether an engine is known to hold weights older than the due version. It keeps
     * serving, but engines with the due version are preferred.
     */
    private boolean isBehindDueVersion(TrackedBackend tracked) {
      Long held = weightsOf(tracked);
      return held != null && due != null && held < due;
    }

    private MissingPrefix needOf(TrackedBackend candidate) {
      return cachePlanner.missingPrefix(candidate, availabilityFor(candidate), nowMillis);
    }

    private PrefixAvailability availabilityFor(TrackedBackend candidate) {
      String namespace = CacheNamespace.of(weightsOf(candidate), query.cacheScope());
      return availabilities.computeIfAbsent(
          namespace, name -> cachePlanner.locate(candidates, name, query.parts(), nowMillis));
    }
  }
}
