package org.lockdale.gateway.capacity;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Estimates the usual times of engines and how far they are slower at present, from the times of
 * complete attempts at engines of uneven and varying speed. All estimates are medians, so that
 * single outliers change nothing. Speeds and slowdowns use only calm streams, those at whose start
 * no prompt waited at the engine: prompts that are computed between the steps of a stream stretch
 * its gaps tenfold, and an engine that computes many of them would count as a slow one. Performs no
 * I/O; the time is passed in. Not thread-safe.
 */
final class SpeedEstimator {

  /**
   * Number of samples of which the median is taken; a burst of outliers under half has no effect.
   */
  private static final int SAMPLES = 15;

  /** Fewest samples of an estimate: two agree against one outlier. */
  private static final int MIN_SAMPLES = 3;

  /** Below this, the time of a prompt consists mostly of waiting for the step in progress. */
  private static final long MIN_COMPUTED_TOKENS = 1_000;

  /** Length of the window that shows the present. */
  static final long RECENT_MILLIS = 500;

  /** Time in which a slowdown without evidence decays, so that the engine is tried again. */
  static final long DECAY_MILLIS = 1_000;

  /** Smaller factors are within the spread of the gaps of a healthy engine under load. */
  private static final double MIN_SLOWDOWN = 1.5;

  private record Sample(double value, long atMillis) {}

  private static final class Samples {
    private final Deque<Double> values = new ArrayDeque<>();

    void add(double value) {
      if (values.size() == SAMPLES) {
        values.poll();
      }
      values.add(value);
    }

    double median() {
      return values.size() < MIN_SAMPLES ? 0 : medianOf(values);
    }
  }

  private static final class Engine {
    final Samples gaps = new Samples();
    final Samples calmGaps = new Samples();
    final Samples rates = new Samples();
    final Samples callTimes = new Samples();
    final Deque<Sample> recentGaps = new ArrayDeque<>();
    double slowdown = 1;
    long slowdownAtMillis;
    long sampledAtMillis;
  }

  /**
   * Usual times of an engine.
   *
   * @param gapMillis median time between two events, in milliseconds; 0 if unknown
   * @param calmGapMillis the same while the engine computes no prompts; 0 if unknown
   * @param tokensPerMilli prompt tokens that it computes per millisecond; 0 if unknown
   * @param callMillis time of a call without a stream while a slot is free, in milliseconds; 0 if
   *     unknown
   * @param slowdown factor by which it is slower than usual at present, at least 1
   * @param sampledAtMillis monotonic time of the newest sample
   */
  record Estimate(
      double gapMillis,
      double calmGapMillis,
      double tokensPerMilli,
      double callMillis,
      double slowdown,
      long sampledAtMillis) {

    /** The estimate of an engine without samples. */
    static final Estimate NONE = new Estimate(0, 0, 0, 0, 1, EngineObservations.NEVER);
  }

  private final Map<String, Engine> engines = new HashMap<>();

  /**
   * Processes the times of an attempt.
   *
   * @param slots requests that the backend processes at once
   */
  void accept(AttemptTiming timing, int slots, long nowMillis) {
    Engine engine = engines.computeIfAbsent(timing.engine(), id -> new Engine());
    engine.sampledAtMillis = nowMillis;
    if (timing.hasGap()) {
      // A gap of 0 ms comes from rounding, and a median of 0 would stand for an unknown gap.
      double gap = Math.max(1, timing.typicalGapMillis());
      if (timing.waitingTokens() == 0) {
        engine.recentGaps.add(new Sample(gap, nowMillis));
        updateSlowdown(engine, nowMillis);
      }
      if (slowdown(engine, nowMillis) < MIN_SLOWDOWN) {
        // The samples of a slow spell would become the usual gaps of the engine.
        engine.gaps.add(gap);
        if (timing.waitingTokens() == 0) {
          engine.calmGaps.add(gap);
        }
      }
    }
    boolean isSlowed = slowdown(engine, nowMillis) >= MIN_SLOWDOWN;
    if (!isSlowed
        && timing.computedTokens() >= MIN_COMPUTED_TOKENS
        && timing.waitingTokens() == 0) {
      engine.rates.add((double) timing.computedTokens() / Math.max(1, timing.firstMillis()));
    }
    if (!isSlowed && timing.computedTokens() == 0 && !timing.hasGap()) {
      double rounds = Math.max(1, (double) timing.openRequests() / Math.max(1, slots));
      engine.callTimes.add(Math.max(1, timing.firstMillis()) / rounds);
    }
  }

  private static void updateSlowdown(Engine engine, long nowMillis) {
    engine.recentGaps.removeIf(sample -> nowMillis - sample.atMillis() > RECENT_MILLIS);
    double usual = engine.calmGaps.median();
    if (usual > 0 && engine.recentGaps.size() >= MIN_SAMPLES) {
      double now = medianOf(engine.recentGaps.stream().map(Sample::value).toList());
      engine.slowdown = now / usual >= MIN_SLOWDOWN ? now / usual : 1;
      engine.slowdownAtMillis = nowMillis;
    }
  }

  private static double slowdown(Engine engine, long nowMillis) {
    long unproven = Math.max(0, nowMillis - engine.slowdownAtMillis - RECENT_MILLIS);
    double left = Math.max(0, 1 - (double) unproven / DECAY_MILLIS);
    return 1 + (engine.slowdown - 1) * left;
  }

  /** Drops the state of engines that are not among those given. */
  void retain(Set<String> present) {
    engines.keySet().retainAll(present);
  }

  /** Returns the estimate of an engine. */
  Estimate of(String id, long nowMillis) {
    Engine engine = engines.get(id);
    return engine == null
        ? Estimate.NONE
        : new Estimate(
            engine.gaps.median(),
            engine.calmGaps.median(),
            engine.rates.median(),
            engine.callTimes.median(),
            slowdown(engine, nowMillis),
            engine.sampledAtMillis);
  }

  /** Returns the median of a quantity over those estimates for which it is known; 0 if none. */
  static double medianOver(Collection<Estimate> estimates, ToDoubleFunction<Estimate> quantity) {
    return medianOf(
        estimates.stream().map(quantity::applyAsDouble).filter(value -> value > 0).toList());
  }

  private static double medianOf(Collection<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    int middle = sorted.length / 2;
    if (sorted.length == 0) {
      return 0;
    }
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }

  /** Returns whether most of those engines that have an estimate are slowed. */
  static boolean areMostSlowed(Collection<Estimate> estimates) {
    long known = estimates.stream().filter(estimate -> estimate.calmGapMillis() > 0).count();
    long slowed = estimates.stream().filter(estimate -> estimate.slowdown() > 1).count();
    return slowed * 2 > known;
  }
}
