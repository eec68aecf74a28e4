package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.RemoteLoads;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.MissingPrefix;
import org.lockdale.gateway.capacity.EngineCapacities;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.placement.TimeCost.Preference;

/**
 * Chooses the backend that is expected to serve a request soonest, at the least cost to the streams
 * that run there. For deployments whose engines are too few for the peaks of the load, or of uneven
 * speed: the engines are divided between short and long prompts by the work that these cause, and
 * costs are times, so that an engine's speed counts.
 */
public final class TimeSelector implements BackendSelector {

  /** Delay of a request and its first event over the links between zones, in milliseconds. */
  private static final double ZONE_DELAY_MILLIS = 3;

  /** Cost of the bytes that cross zones, relative to the latency objective. */
  private static final double ZONE_SHARE = 0.05;

  /** Costs within this share of the lowest are equal. */
  private static final double TIE_SHARE = 0.1;

  /** Costs within this many milliseconds of the lowest are equal. */
  private static final double TIE_MILLIS = 5;

  /** Cost of a failure rate of 1, relative to the latency objective: nothing is earned at all. */
  private static final double FAILURE_SHARE = 2;

  /**
   * Cost of serving with outdated weights, relative to the latency objective. Such a response loses
   * a fifth of its value, a late one two thirds.
   */
  private static final double OUTDATED_SHARE = 0.3;

  /**
   * Engines with current weights are preferred once they make up at least one in this many; fewer
   * would run out of free slots (see {@link BackendChooser}).
   */
  private static final int MIN_CURRENT_DIVISOR = 4;

  /** Time of a request without a prompt that is assumed, in milliseconds. */
  private static final double PLAIN_MILLIS = 50;

  /** Latency objective assumed for a request without a prompt, in milliseconds. */
  private static final double PLAIN_OBJECTIVE_MILLIS = 300;

  /** Cost of a failure rate of 1 for a request without a prompt, in milliseconds. */
  private static final double PLAIN_FAILURE_MILLIS = 3_000;

  private static final Pool UNKNOWN_POOL = new Pool("", 0, Set.of(), 0, 1);

  private final EngineStates states;
  private final Function<String, Optional<Pool>> pools;
  private final DoubleSupplier random;
  private final HomeEngines homes = new HomeEngines();
  private final PlacementLog log = new PlacementLog();
  private final Map<String, PoolDemand> demands = new ConcurrentHashMap<>();

  /** The division, by index of the engine, and the homes that hold for one decision. */
  private record Division(Preference[] preferences, Set<TrackedBackend> homes) {

    Preference preference(EngineState state) {
      return preferences[state.index()];
    }
  }

  /**
   * A candidate with its costs in milliseconds.
   *
   * @param cost cost by which candidates are compared
   * @param priceMillis part of it for what is computed and sent between zones
   * @param endMillis time to the end of the response
   */
  private record Choice(
      TrackedBackend candidate, double cost, double priceMillis, double endMillis) {}

  /**
   * Creates a selector.
   *
   * @param remoteLoads work that other nodes have at the backends
   * @param capacities estimated capacities of the engines
   * @param pools returns the configuration of a pool by its name
   */
  public TimeSelector(
      RemoteLoads remoteLoads,
      EngineCapacities capacities,
      Function<String, Optional<Pool>> pools) {
    this(remoteLoads, capacities, pools, () -> ThreadLocalRandom.current().nextDouble());
  }

  /**
   * Creates a selector with a given source of randomness.
   *
   * @param remoteLoads work that other nodes have at the backends
   * @param capacities estimated capacities of the engines
   * @param pools returns the configuration of a pool by its name
   * @param random returns a random number, at least 0 and less than 1; called by several threads
   */
  public TimeSelector(
      RemoteLoads remoteLoads,
      EngineCapacities capacities,
      Function<String, Optional<Pool>> pools,
      DoubleSupplier random) {
    this.states = new EngineStates(remoteLoads, capacities);
    this.pools = pools;
    this.random = random;
  }

  @Override
  public Optional<TrackedBackend> choose(PlacementRequest request, long nowMillis) {
    List<TrackedBackend> considered = considered(request, nowMillis);
    PromptPlacement prompt = request.prompt();
    return prompt == null
        ? choosePlain(considered, request, nowMillis)
        : chooseForPrompt(considered, request, prompt, nowMillis);
  }

  /**
   * Returns the candidates that count as usable. Without one known to be healthy, one that may have
   * recovered is better than none.
   */
  private List<TrackedBackend> considered(PlacementRequest request, long nowMillis) {
    List<TrackedBackend> usable = new ArrayList<>(request.candidates().size());
    List<TrackedBackend> unhealthy = new ArrayList<>();
    boolean noneHealthy = true;
    for (TrackedBackend candidate : request.candidates()) {
      if (!candidate.isAmong(request.excluded())) {
        boolean isUnhealthy = candidate.health().isEjected(nowMillis) || states.isSilent(candidate);
        (isUnhealthy ? unhealthy : usable).add(candidate);
        noneHealthy &= isUnhealthy || request.conditions().backingOff().test(candidate);
      }
    }
    if (noneHealthy) {
      usable.addAll(unhealthy);
    }
    return usable;
  }

  private Optional<TrackedBackend> choosePlain(
      List<TrackedBackend> considered, PlacementRequest request, long nowMillis) {
    double objective =
        request.terms() == null ? PLAIN_OBJECTIVE_MILLIS : request.terms().objectiveMillis();
    List<Choice> choices = new ArrayList<>(considered.size());
    for (TrackedBackend candidate : considered) {
      if (!request.conditions().isUnavailable(candidate)) {
        int slots = Math.max(1, candidate.backend().slots());
        double time =
            PLAIN_MILLIS
                * (states.workAt(candidate).openRequests() + 1)
                / slots
                / states.speedOf(candidate);
        double zone = zoneCost(candidate, request.zone(), objective);
        double cost =
            time + zone + candidate.health().failureRate(nowMillis) * PLAIN_FAILURE_MILLIS;
        choices.add(new Choice(candidate, cost, zone, time));
      }
    }
    return draw(choices);
  }

  private static double zoneCost(TrackedBackend candidate, String zone, double objective) {
    return candidate.backend().zone().equals(zone) ? 0 : ZONE_DELAY_MILLIS + ZONE_SHARE * objective;
  }

  private Optional<TrackedBackend> chooseForPrompt(
      List<TrackedBackend> considered,
      PlacementRequest request,
      PromptPlacement prompt,
      long nowMillis) {
    List<EngineState> engines = states.of(considered);
    PoolDemand demand = demands.computeIfAbsent(request.pool(), pool -> new PoolDemand());
    List<TrackedBackend> outdated = new ArrayList<>(considered);
    outdated.removeIf(request.conditions().outdated().negate());
    boolean currentFirst =
        (considered.size() - outdated.size()) * MIN_CURRENT_DIVISOR >= considered.size();
    Set<TrackedBackend> behind = currentFirst ? Set.copyOf(outdated) : Set.of();
    Division division = divide(engines, behind, request, prompt, demand, nowMillis);
    RequestNeeds needs = RequestNeeds.of(prompt, request.terms());
    TimeCost costs = costs(request, prompt, needs, demand);
    List<Choice> choices = new ArrayList<>(engines.size());
    for (EngineState state : engines) {
      TrackedBackend engine = state.engine();
      if (!request.conditions().isUnavailable(engine)) {
        TimeCost.Estimate estimate =
            costs.of(
                state,
                request.missingPrefixOf().apply(engine),
                division.homes().contains(engine),
                division.preference(state));
        double zone = zoneCost(engine, request.zone(), needs.objectiveMillis());
        double further =
            zone
                + engine.health().failureRate(nowMillis) * FAILURE_SHARE * needs.objectiveMillis()
                + (behind.contains(engine) ? OUTDATED_SHARE * needs.objectiveMillis() : 0);
        choices.add(
            new Choice(
                engine,
                estimate.total() + further,
                estimate.computeMillis() + zone,
                estimate.endMillis()));
      }
    }
    Optional<TrackedBackend> chosen = draw(choices);
    chosen.ifPresent(
        engine ->
            recordPlacement(
                engines.get(considered.indexOf(engine)),
                request,
                prompt,
                needs,
                division,
                nowMillis));
    return chosen;
  }

  private TimeCost costs(
      PlacementRequest request, PromptPlacement prompt, RequestNeeds needs, PoolDemand demand) {
    Pool pool = pools.apply(request.pool()).orElse(UNKNOWN_POOL);
    return new TimeCost(
        needs,
        demand.averages(),
        prompt.ownTokens(),
        Math.max(1, pool.tokensPerEvent()),
        pool.memoryTokens());
  }

  private Division divide(
      List<EngineState> engines,
      Set<TrackedBackend> behind,
      PlacementRequest request,
      PromptPlacement prompt,
      PoolDemand demand,
      long nowMillis) {
    double total = 0;
    double smallest = Double.MAX_VALUE;
    List<EngineState> current = new ArrayList<>(engines.size());
    List<EngineState> others = new ArrayList<>();
    for (EngineState state : engines) {
      total += state.speedStep();
      smallest = Math.min(smallest, state.speedStep());
      (behind.contains(state.engine()) ? others : current).add(state);
    }
    double share =
        engines.size() < 2
            ? 0
            : demand.shortShare(
                smallest / total,
                nowMillis,
                changed -> log.recordDivision(request.pool(), changed, engines.size(), nowMillis));
    Preference[] preferences = new Preference[engines.size()];
    Arrays.fill(preferences, Preference.UNDIVIDED);
    List<EngineState> preferred = current;
    if (share > 0) {
      preferred = split(current, demand.currentRanking(), share, prompt.isLong(), preferences);
      split(others, demand.outdatedRanking(), share, prompt.isLong(), preferences);
    }
    int homeCount = homes.count(request.pool(), prompt, preferred.size(), nowMillis);
    return new Division(
        preferences, HomeEngines.highest(preferred, prompt.affinityKey(), homeCount));
  }

  /** Classifies engines and returns those preferred for prompts of a kind. */
  private static List<EngineState> split(
      List<EngineState> engines,
      EngineRanking ranking,
      double share,
      boolean forLong,
      Preference[] preferences) {
    if (engines.size() < 2) {
      return engines;
    }
    List<EngineState> ranked = ranking.rank(engines);
    int count = EngineRanking.count(ranked, share);
    for (int index = 0; index < ranked.size(); index++) {
      preferences[ranked.get(index).index()] = index < count ? Preference.SHORT : Preference.LONG;
    }
    return forLong ? ranked.subList(count, ranked.size()) : ranked.subList(0, count);
  }

  /**
   * Draws two of the candidates whose costs are about the lowest and returns the one that is
   * expected to end earlier. Deciders with the same outdated view thus choose different engines. A
   * candidate that has to compute more than the cheapest one, or is in another zone, is not equal
   * to it, since a tenth of the cost exceeds what these cost for a short prompt.
   */
  private Optional<TrackedBackend> draw(List<Choice> choices) {
    Choice lowest = null;
    for (Choice choice : choices) {
      lowest = lowest == null || choice.cost() < lowest.cost() ? choice : lowest;
    }
    if (lowest == null) {
      return Optional.empty();
    }
    double limit = lowest.cost() + Math.max(TIE_MILLIS, TIE_SHARE * lowest.cost());
    double maxPriceMillis = lowest.priceMillis() + TIE_MILLIS;
    List<Choice> equal = new ArrayList<>();
    for (Choice choice : choices) {
      if (choice.cost() <= limit && choice.priceMillis() <= maxPriceMillis) {
        equal.add(choice);
      }
    }
    Choice first = equal.remove((int) (random.getAsDouble() * equal.size()));
    if (equal.isEmpty()) {
      return Optional.of(first.candidate());
    }
    Choice second = equal.get((int) (random.getAsDouble() * equal.size()));
    return Optional.of(
        second.endMillis() < first.endMillis() ? second.candidate() : first.candidate());
  }

  private void recordPlacement(
      EngineState state,
      PlacementRequest request,
      PromptPlacement prompt,
      RequestNeeds needs,
      Division division,
      long nowMillis) {
    TrackedBackend engine = state.engine();
    MissingPrefix need = request.missingPrefixOf().apply(engine);
    long computed = prompt.ownTokens() + need.computed();
    double work = TimeCost.workMillis(computed, needs.outputTokens(), engine.backend().slots());
    PoolDemand demand = demands.computeIfAbsent(request.pool(), pool -> new PoolDemand());
    demand.record(needs, computed, work, nowMillis);
    homes.record(request.pool(), prompt, work, nowMillis);
    Preference preference = division.preference(state);
    boolean otherKind =
        preference != Preference.UNDIVIDED && needs.isLong() != (preference == Preference.LONG);
    boolean otherZone = !engine.backend().zone().equals(request.zone());
    log.recordPlacement(request.pool(), otherZone, otherKind, nowMillis);
  }

  @Override
  public long waitingTokens(TrackedBackend candidate) {
    return states.workAt(candidate).waitingTokens();
  }

  @Override
  public long waitingTokensAhead(TrackedBackend candidate, PlacementRequest request) {
    BackendWork work = states.workAt(candidate);
    PromptPlacement prompt = request.prompt();
    PoolDemand demand = demands.get(request.pool());
    return prompt == null || demand == null
        ? work.waitingTokens()
        : (long)
            costs(request, prompt, RequestNeeds.of(prompt, request.terms()), demand)
                .tokensAhead(work);
  }
}
