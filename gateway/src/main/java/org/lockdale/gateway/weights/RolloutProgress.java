package org.lockdale.gateway.weights;

import java.util.HashMap;
import java.util.Map;
import org.lockdale.gateway.backend.TrackedBackend;

/** Engines that are moving to other weights, as the coordinator of the rollout told. Immutable. */
public final class RolloutProgress {

  /** Nothing moves. */
  public static final RolloutProgress NONE = new RolloutProgress(Map.of());

  /** A move that was told this long ago is no longer believed; its coordinator may be gone. */
  static final long BELIEF_MILLIS = 4_000;

  /** What was told this long ago has reached the back ends' own records. */
  private static final long FORGET_MILLIS = 60_000;

  private record Told(EngineMove move, long atMillis) {}

  private final Map<String, Told> byEngine;

  private RolloutProgress(Map<String, Told> byEngine) {
    this.byEngine = byEngine;
  }

  /** Returns this progress with what was told now; what was told long ago is dropped. */
  public RolloutProgress with(EngineMove move, long nowMillis) {
    Map<String, Told> updated = new HashMap<>(byEngine);
    updated.values().removeIf(told -> nowMillis - told.atMillis() > FORGET_MILLIS);
    updated.put(move.engine(), new Told(move, nowMillis));
    return new RolloutProgress(Map.copyOf(updated));
  }

  /** Returns whether an engine is on its way to other weights of a model. */
  public boolean isMoving(TrackedBackend engine, String model, long nowMillis) {
    Told told = byEngine.get(engine.backend().id());
    return told != null
        && told.move().moving()
        && told.move().model().equals(model)
        && nowMillis - told.atMillis() < BELIEF_MILLIS;
  }

  /** Passes on the weights that engines were told to hold. */
  public void observe(TrackedBackend engine) {
    Told told = byEngine.get(engine.backend().id());
    if (told != null && !told.move().moving()) {
      engine.observeWeights(told.move().model(), told.move().version());
    }
  }
}
