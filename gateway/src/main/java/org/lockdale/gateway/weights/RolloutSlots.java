package org.lockdale.gateway.weights;

import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * How many engines may move to other weights at once. Engines that fail count as moving, so that a
 * rollout never takes more engines from service than it would from a sound pool; they have a slot
 * of their own, so that waiting for their answer holds up no sound one.
 *
 * @param sound moves of engines that answer
 * @param suspected moves of engines whose last attempts failed
 */
record RolloutSlots(int sound, int suspected) {

  private static final int LEAST = 2;

  /** One engine in this many may be out of service at once. */
  private static final int DIVISOR = 3;

  /** Returns the slots for the engines on record. */
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

  /** Returns the slots for a number of engines, some of which fail. */
  static RolloutSlots of(int engines, int failing) {
    int outOfService = Math.max(LEAST, (engines + DIVISOR - 1) / DIVISOR);
    // One engine at least goes on serving, where there is more than one.
    int most = Math.max(1, engines - failing - 1);
    int sound = Math.max(1, Math.min(most, outOfService - failing));
    return new RolloutSlots(sound, 1);
  }

  /** Returns the most moves at once of engines that are suspected, or of those that are not. */
  int limit(boolean isSuspected) {
    return isSuspected ? suspected : sound;
  }
}
