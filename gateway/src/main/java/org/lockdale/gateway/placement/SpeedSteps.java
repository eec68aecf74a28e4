package org.lockdale.gateway.placement;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Speeds of engines in steps, from which their ranks and home prompts follow. A step changes only
 * when the estimate is clearly nearer to another one, so that small changes of an estimate move no
 * prompts. Safe for use by several threads.
 */
final class SpeedSteps {

  private static final double STEP = 0.25;

  /** More than half a step, so that an estimate between two steps does not alternate. */
  private static final double HYSTERESIS = 0.7 * STEP;

  /** Bounds the memory where engines come and go; far above the engines of a deployment. */
  private static final int MAX_ENGINES = 8_192;

  private final Map<Long, Double> steps = new ConcurrentHashMap<>();

  /** Returns the speed of an engine in steps, for its current estimate. */
  double of(TrackedBackend engine, double speed) {
    long server = engine.identity();
    Double held = steps.get(server);
    if (held == null && speed == 1) {
      return 1;
    }
    if (held != null && Math.abs(speed - held) <= HYSTERESIS) {
      return held;
    }
    double step = Math.max(STEP, Math.round(speed / STEP) * STEP);
    if (steps.size() >= MAX_ENGINES) {
      steps.clear();
    }
    steps.put(server, step);
    return step;
  }
}
