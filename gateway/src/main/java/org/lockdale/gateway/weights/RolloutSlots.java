package org.lockdale.gateway.weights;

import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Number of engines that may move to other weights at once. Failing engines count as moving, so
 * that a rollout never takes more engines out of service than it would with a healthy pool. Failing
 * engines have a separate slot, so that waiting for their response delays no healthy engine.
 *
 * @param healthy concurrent moves of engines that respond
 * @param suspected concurrent moves of engines whose last attempts failed
 */
record RolloutSlots(int healthy, int suspected) {

  /** Number of engines that may be out of service at once in a pool of any size. */
  private static final int MIN_OUT_OF_SERVICE = 2;

  /** One engine in this many may be out of service at once. */
  private static final int OUT_OF_SERVICE_DIVISOR = 3;

  /** Returns the slots for the engines of a table. */
  static RolloutSlots of(BackendTable backends) {
    int engines = 0;
    int failing = 0;
    for (TrackedBackend tracked : backends.all()) {
      if (!tracked.backend().weights().isEmpty()) {
        engines++;
        failing += tracked.health().isSuspected() ? 1 : 0;
      }
    }
    return of(engines, failing);
  }

  /** Returns the slots for a number of engines, some of which are failing. */
  static RolloutSlots of(int engines, int failing) {
    int outOfService =
        Math.max(
            MIN_OUT_OF_SERVICE, (engines + OUT_OF_SERVICE_DIVISOR - 1) / OUT_OF_SERVICE_DIVISOR);
    // At least one engine remains in service, where there is more than one.
    int maxHealthy = Math.max(1, engines - failing - 1);
    int healthy = Math.max(1, Math.min(maxHealthy, outOfService - failing));
    return new RolloutSlots(healthy, 1);
  }

  /**
   * Returns the maximum number of concurrent moves of engines of one kind.
   *
   * @param isSuspected true for engines whose last attempts failed, false for the others
   */
  int limit(boolean isSuspected) {
    return isSuspected ? suspected : healthy;
  }
}
