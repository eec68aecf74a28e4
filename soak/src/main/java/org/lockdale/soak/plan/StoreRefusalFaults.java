package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.lockdale.soak.plan.Fault.RefusalTrouble;

/**
 * Draws times in which the store refuses a part of the nodes, never all of them, while keys are
 * replaced. They are drawn separately from all other faults, so that the other faults of a seed
 * that has failed before stay the same.
 */
final class StoreRefusalFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0xE7037ED1A0B428DBL;

  private static final int MIN_GAP_MILLIS = 3_000;
  private static final int MAX_GAP_MILLIS = 9_000;
  private static final int MIN_DURATION_MILLIS = 2_500;
  private static final int MAX_DURATION_MILLIS = 7_000;
  private static final int MAX_REPLACED_KEYS = 3;

  private StoreRefusalFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    List<PlannedFault> faults = new ArrayList<>();
    if (deployment.nodes() == 1) {
      return faults;
    }
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    long at = fromMillis + random.nextInt(MIN_GAP_MILLIS);
    while (at < untilMillis) {
      Fault.StoreRefusesNodes fault = drawOne(random, deployment);
      faults.add(new PlannedFault(at, fault));
      at += fault.lastsMillis() + random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    return faults;
  }

  private static Fault.StoreRefusesNodes drawOne(SplittableRandom random, Deployment deployment) {
    List<String> served = new ArrayList<>(deployment.nodeNames());
    List<String> refused = new ArrayList<>();
    int count = random.nextInt(1, deployment.nodes());
    for (int number = 0; number < count; number++) {
      refused.add(served.remove(random.nextInt(served.size())));
    }
    RefusalTrouble[] troubles = RefusalTrouble.values();
    return new Fault.StoreRefusesNodes(
        refused,
        troubles[random.nextInt(troubles.length)],
        random.nextInt(1, MAX_REPLACED_KEYS + 1),
        random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS));
  }
}
