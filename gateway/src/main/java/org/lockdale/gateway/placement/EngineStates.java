package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.RemoteLoads;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.capacity.EngineCapacities;
import org.lockdale.gateway.capacity.EngineCapacity;

/**
 * Reads the state of engines from the work of all nodes and the estimated capacities. Estimates
 * that are too old, and those that are missing, are replaced by the medians of the pool.
 * Thread-safe.
 */
final class EngineStates {

  /** Age from which an estimate is no longer used, in milliseconds. */
  private static final long MAX_AGE_MILLIS = 10_000;

  /** Bounds the effect of a wrong estimate on a decision. */
  private static final double MIN_SPEED = 0.1;

  private static final double MAX_SPEED = 4;

  private final RemoteLoads remoteLoads;
  private final EngineCapacities capacities;
  private final SpeedSteps steps = new SpeedSteps();

  EngineStates(RemoteLoads remoteLoads, EngineCapacities capacities) {
    this.remoteLoads = remoteLoads;
    this.capacities = capacities;
  }

  BackendWork workAt(TrackedBackend engine) {
    return engine.load().work().plus(remoteLoads.at(engine.backend().id()));
  }

  boolean isSilent(TrackedBackend engine) {
    return capacities.of(engine).silent();
  }

  /** Returns the present speed of a backend relative to the median of its pool. */
  double speedOf(TrackedBackend backend) {
    EngineCapacity capacity = capacities.of(backend);
    return isKnown(capacity) ? bounded(capacity.currentSpeed()) : 1;
  }

  /** Returns the states of engines of one pool, in the same order. */
  List<EngineState> of(List<TrackedBackend> engines) {
    EngineCapacity[] known = new EngineCapacity[engines.size()];
    double[] rates = new double[engines.size()];
    int rateCount = 0;
    for (int index = 0; index < known.length; index++) {
      EngineCapacity capacity = capacities.of(engines.get(index));
      known[index] = capacity;
      if (isKnown(capacity) && capacity.tokensPerMilli() > 0) {
        rates[rateCount] = capacity.tokensPerMilli() / bounded(capacity.speed());
        rateCount++;
      }
    }
    double medianRate = median(rates, rateCount);
    List<EngineState> states = new ArrayList<>(known.length);
    for (int index = 0; index < known.length; index++) {
      states.add(state(index, engines.get(index), known[index], medianRate));
    }
    return states;
  }

  private EngineState state(
      int index, TrackedBackend engine, EngineCapacity capacity, double medianRate) {
    BackendWork work = workAt(engine);
    long occupied = work.waitingTokens() + work.runningTokens();
    boolean isKnown = isKnown(capacity);
    double usual = isKnown ? bounded(capacity.speed()) : 1;
    double slowdown = isKnown ? Math.max(1, capacity.slowdown()) : 1;
    double rate =
        isKnown && capacity.tokensPerMilli() > 0 ? capacity.tokensPerMilli() : medianRate * usual;
    return new EngineState(
        index,
        engine,
        work,
        Math.max(capacity.reservedTokens(), occupied),
        bounded(usual / slowdown),
        steps.of(engine, usual),
        rate / slowdown);
  }

  private static double bounded(double speed) {
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed));
  }

  private static boolean isKnown(EngineCapacity capacity) {
    return capacity.ageMillis() <= MAX_AGE_MILLIS;
  }

  private static double median(double[] values, int count) {
    if (count == 0) {
      return TimeCost.DEFAULT_TOKENS_PER_MILLI;
    }
    Arrays.sort(values, 0, count);
    return values[count / 2];
  }
}
