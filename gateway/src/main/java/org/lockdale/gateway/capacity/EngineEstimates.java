package org.lockdale.gateway.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.capacity.SpeedEstimator.Estimate;

/**
 * Estimates the capacities of engines from the observations of nodes, and publishes them. A relay
 * uses the reports of all nodes; any other node uses its own and what the relay tells it. Performs
 * no I/O; the time is passed in. Confined to one event loop.
 */
public final class EngineEstimates {

  /** Silence is this many times the usual time to the next byte. */
  private static final int SILENCE_FACTOR = 4;

  /** Prompt tokens that an engine computes per millisecond, until any rate was observed. */
  private static final double DEFAULT_TOKENS_PER_MILLI = 30;

  /** What another node sent about silence, slowdowns and reserved tokens holds for this long. */
  static final long RECEIVED_VALID_MILLIS = 2_000;

  private record Summary(EngineCapacity capacity, long atMillis) {}

  private record Notice(Set<String> engines, long atMillis) {}

  /**
   * Changes of an update.
   *
   * @param silent engines that have become silent
   * @param heard engines that are no longer silent
   * @param slowed engines that have become slower than usual
   */
  public record Changes(List<String> silent, List<String> heard, List<String> slowed) {}

  private final boolean detectsSilence;
  private final Function<TrackedBackend, BackendWork> workAt;
  private final Predicate<TrackedBackend> isLoading;
  private final EngineCapacityTable table = new EngineCapacityTable();
  private final UseReports reports = new UseReports();
  private final SilenceDetector detector = new SilenceDetector(reports);
  private final SpeedEstimator speeds = new SpeedEstimator();
  private final Map<String, Summary> summaries = new HashMap<>();
  private final Map<String, Notice> notices = new HashMap<>();
  private Set<String> slowed = Set.of();
  private Set<String> detected = Set.of();
  private long detectsFromMillis = Long.MIN_VALUE;

  /**
   * Creates estimates without observations.
   *
   * @param detectsSilence whether engines may count as silent
   * @param workAt returns the work that all nodes have at an engine
   * @param isLoading returns whether an engine is moving to other weights
   */
  public EngineEstimates(
      boolean detectsSilence,
      Function<TrackedBackend, BackendWork> workAt,
      Predicate<TrackedBackend> isLoading) {
    this.detectsSilence = detectsSilence;
    this.workAt = workAt;
    this.isLoading = isLoading;
  }

  /** Returns what is published. */
  public EngineCapacityTable table() {
    return table;
  }

  /**
   * Returns the engines that this node itself has found silent, empty if it does not decide. A
   * relay tells only these: two relays that repeated each other's notices would never end them.
   */
  public Set<String> detected() {
    return detected;
  }

  /** Processes the uses that a node makes of engines. */
  public void acceptUses(String node, List<EngineUse> uses, long nowMillis) {
    uses.forEach(use -> reports.accept(node, use, nowMillis));
  }

  /** Processes the times of attempts; those at unknown backends are ignored. */
  public void acceptTimings(List<AttemptTiming> timings, BackendTable backends, long nowMillis) {
    for (AttemptTiming timing : timings) {
      TrackedBackend tracked = backends.find(timing.engine());
      if (tracked != null) {
        speeds.accept(timing, tracked.backend().slots(), nowMillis);
      }
    }
  }

  /** Processes what a relay tells about engines. */
  public void acceptSummary(Map<String, EngineCapacity> capacities, long nowMillis) {
    capacities.forEach(
        (engine, capacity) -> summaries.put(engine, new Summary(capacity, nowMillis)));
  }

  /** Processes the notice of a relay; an empty set ends its former one. */
  public void acceptNotice(String sender, Set<String> silent, long nowMillis) {
    notices.put(sender, new Notice(Set.copyOf(silent), nowMillis));
  }

  /**
   * Updates the published estimates.
   *
   * @param backends all backends
   * @param decides whether no other node places the requests of this one, so that it decides by the
   *     reports that it has
   * @param nowMillis monotonic time in milliseconds
   */
  public Changes update(BackendTable backends, boolean decides, long nowMillis) {
    retain(backends, nowMillis);
    Map<String, Estimate> estimates = new HashMap<>();
    Map<String, List<Estimate>> byPool = new HashMap<>();
    for (TrackedBackend tracked : backends.all()) {
      Estimate estimate = speeds.of(tracked.backend().id(), nowMillis);
      estimates.put(tracked.backend().id(), estimate);
      byPool.computeIfAbsent(tracked.backend().pool(), pool -> new ArrayList<>()).add(estimate);
    }
    Map<String, PoolMedians> medians = new HashMap<>();
    byPool.forEach((pool, all) -> medians.put(pool, PoolMedians.of(all)));
    Set<String> formerlySilent = table.silentEngines();
    table.publishSilent(silences(backends, estimates, medians, decides, nowMillis), nowMillis);
    Map<String, EngineCapacity> capacities = new HashMap<>();
    for (TrackedBackend tracked : backends.all()) {
      String id = tracked.backend().id();
      PoolMedians pool = medians.get(tracked.backend().pool());
      capacities.put(id, capacity(tracked, estimates.get(id), pool, decides, nowMillis));
    }
    table.publish(capacities);
    return changes(formerlySilent, capacities);
  }

  private void retain(BackendTable backends, long nowMillis) {
    Set<String> present = new HashSet<>();
    backends.all().forEach(tracked -> present.add(tracked.backend().id()));
    reports.retain(present, nowMillis);
    detector.retain(present);
    speeds.retain(present);
    summaries.keySet().retainAll(present);
    notices.values().removeIf(notice -> nowMillis - notice.atMillis() > RECEIVED_VALID_MILLIS);
  }

  private Map<String, Boolean> silences(
      BackendTable backends,
      Map<String, Estimate> estimates,
      Map<String, PoolMedians> medians,
      boolean decides,
      long nowMillis) {
    Map<String, Boolean> silent = new HashMap<>();
    if (!detectsSilence) {
      return silent;
    }
    Map<String, SilenceDetector.Silence> found =
        detector.evaluate(
            id -> thresholdMillis(backends.find(id), estimates, medians, nowMillis), nowMillis);
    // Only the relay that sent it knows whether any node has attempts there.
    notices.values().forEach(notice -> notice.engines().forEach(id -> silent.put(id, false)));
    if (decides) {
      found.forEach((id, silence) -> silent.put(id, silence.idle()));
    }
    detected = decides ? found.keySet() : Set.of();
    return silent;
  }

  /** Finds no engine silent before a time, as the reports of other nodes may not have been read. */
  public void suspendDetection(long untilMillis) {
    detectsFromMillis = untilMillis;
  }

  private long thresholdMillis(
      TrackedBackend tracked,
      Map<String, Estimate> estimates,
      Map<String, PoolMedians> medians,
      long nowMillis) {
    if (nowMillis < detectsFromMillis) {
      return SilenceDetector.NOT_JUDGED;
    }
    if (isLoading.test(tracked)) {
      // Its streams pause while it loads, which takes longer than the shortest silence.
      return SilenceDetector.NOT_JUDGED;
    }
    PoolMedians pool = medians.get(tracked.backend().pool());
    Estimate estimate = estimates.get(tracked.backend().id());
    BackendWork work = workAt.apply(tracked);
    double usual;
    double allWaiting = 0;
    if (work.runningTokens() > 0) {
      usual = known(estimate.gapMillis(), pool.gapMillis()) * Math.max(1, estimate.slowdown());
    } else if (work.waitingTokens() > 0) {
      double rate = known(estimate.tokensPerMilli(), pool.tokensPerMilli());
      allWaiting = work.waitingTokens() / (rate > 0 ? rate : DEFAULT_TOKENS_PER_MILLI);
      usual = allWaiting / Math.max(1, work.openRequests());
    } else {
      // Prompts that were deferred count no tokens, so streams are judged by their gaps.
      double gap = known(estimate.gapMillis(), pool.gapMillis());
      usual = known(gap, known(estimate.callMillis(), pool.callMillis()));
      if (usual == 0) {
        return SilenceDetector.NOT_JUDGED;
      }
    }
    // A very long prompt among short ones takes longer than several of their mean.
    long silence = Math.round(Math.max(SILENCE_FACTOR * usual, allWaiting));
    return Math.max(SilenceDetector.MIN_SILENCE_MILLIS, silence);
  }

  private static double known(double own, double ofPool) {
    return own > 0 ? own : ofPool;
  }

  private EngineCapacity capacity(
      TrackedBackend tracked,
      Estimate estimate,
      PoolMedians pool,
      boolean decides,
      long nowMillis) {
    String id = tracked.backend().id();
    long observedAt = Math.max(estimate.sampledAtMillis(), reports.heardAtMillis(id));
    EngineCapacity own =
        new EngineCapacity(
            reports.reservedTokens(id, nowMillis),
            pool.speedOf(estimate),
            estimate.tokensPerMilli(),
            estimate.gapMillis(),
            pool.mostSlowed() ? 1 : estimate.slowdown(),
            table.isSilent(tracked),
            observedAt == EngineObservations.NEVER ? Long.MAX_VALUE : nowMillis - observedAt);
    Summary summary = summaries.get(id);
    boolean hasOwn = estimate.gapMillis() > 0 || estimate.callMillis() > 0;
    return summary == null || decides && hasOwn ? own : combined(own, summary, nowMillis);
  }

  /** Combines own observations with those of the relay, which knows the attempts of all nodes. */
  private static EngineCapacity combined(EngineCapacity own, Summary received, long nowMillis) {
    EngineCapacity summary = received.capacity();
    long age = nowMillis - received.atMillis();
    boolean present = age <= RECEIVED_VALID_MILLIS;
    long observed =
        summary.ageMillis() == Long.MAX_VALUE ? Long.MAX_VALUE : summary.ageMillis() + age;
    return new EngineCapacity(
        present ? Math.max(own.reservedTokens(), summary.reservedTokens()) : own.reservedTokens(),
        summary.speed(),
        summary.tokensPerMilli(),
        summary.gapMillis(),
        present ? summary.slowdown() : own.slowdown(),
        own.silent(),
        Math.min(own.ageMillis(), observed));
  }

  private Changes changes(Set<String> formerlySilent, Map<String, EngineCapacity> capacities) {
    Set<String> silentNow = table.silentEngines();
    Set<String> slowedNow = new HashSet<>();
    capacities.forEach(
        (id, capacity) -> {
          if (capacity.slowdown() > 1) {
            slowedNow.add(id);
          }
        });
    Changes changes =
        new Changes(
            without(silentNow, formerlySilent),
            without(formerlySilent, silentNow),
            without(slowedNow, slowed));
    slowed = slowedNow;
    return changes;
  }

  private static List<String> without(Set<String> some, Set<String> others) {
    return some.stream().filter(id -> !others.contains(id)).sorted().toList();
  }
}
