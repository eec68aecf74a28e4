package org.lockdale.gateway.weights;

import java.util.HashMap;
import java.util.Map;
import org.lockdale.gateway.backend.TrackedBackend;

/** Engines that are moving to other weights, as announced by the rollout coordinator. Immutable. */
public final class RolloutProgress {

  /** No engine moves. */
  public static final RolloutProgress NONE = new RolloutProgress(Map.of());

  /**
   * Time in milliseconds after which an announced move expires, since its coordinator may have
   * terminated.
   */
  static final long ANNOUNCEMENT_TTL_MILLIS = 4_000;

  /**
   * Time in milliseconds for which announcements are kept. By then the records of the backends show
   * the weights.
   */
  private static final long RETENTION_MILLIS = 60_000;

  private record Announcement(EngineMove move, long receivedAtMillis) {}

  private final Map<String, Announcement> byEngine;

  private RolloutProgress(Map<String, Announcement> byEngine) {
    this.byEngine = byEngine;
  }

  /**
   * Returns this progress with a new announcement and without those past their retention time.
   *
   * @param move the announcement
   * @param nowMillis monotonic time in milliseconds
   */
  public RolloutProgress with(EngineMove move, long nowMillis) {
    Map<String, Announcement> updated = new HashMap<>(byEngine);
    updated
        .values()
        .removeIf(announcement -> nowMillis - announcement.receivedAtMillis() > RETENTION_MILLIS);
    updated.put(move.engine(), new Announcement(move, nowMillis));
    return new RolloutProgress(Map.copyOf(updated));
  }

  /** Returns whether an engine is moving to other weights of a model. */
  public boolean isMoving(TrackedBackend engine, String model, long nowMillis) {
    Announcement announcement = byEngine.get(engine.backend().id());
    return announcement != null
        && announcement.move().model().equals(model)
        && isMoving(announcement, nowMillis);
  }

  /** Returns whether an engine is moving to other weights of any model. */
  public boolean isMoving(TrackedBackend engine, long nowMillis) {
    Announcement announcement = byEngine.get(engine.backend().id());
    return announcement != null && isMoving(announcement, nowMillis);
  }

  private static boolean isMoving(Announcement announcement, long nowMillis) {
    return announcement.move().moving()
        && nowMillis - announcement.receivedAtMillis() < ANNOUNCEMENT_TTL_MILLIS;
  }

  /** Applies the weights that an engine was announced to hold to the state known about it. */
  public void applyTo(TrackedBackend engine) {
    Announcement announcement = byEngine.get(engine.backend().id());
    if (announcement != null && !announcement.move().moving()) {
      engine.observeWeights(announcement.move().model(), announcement.move().version());
    }
  }
}
