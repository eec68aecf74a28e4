package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws rate limits that servers advertise. They are drawn separately from all other faults, so
 * that the other faults of a seed that has failed before stay the same.
 */
final class AdvertisedRateFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0xD1B54A32D192ED03L;

  private static final int MIN_GAP_MILLIS = 1_000;
  private static final int MAX_GAP_MILLIS = 8_000;
  private static final int MIN_DURATION_MILLIS = 1_000;
  private static final int MAX_DURATION_MILLIS = 12_000;
  private static final double MAX_PER_SECOND = 4;

  /**
   * Maximum of the last rate. It lasts into the quiet end of the run, where the rule applies to
   * nodes for the longest time, so it is low.
   */
  private static final double MAX_FINAL_PER_SECOND = 1;

  private static final long FINAL_DURATION_MILLIS = 20_000;

  private AdvertisedRateFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    List<String> servers = deployment.serverNames();
    List<PlannedFault> faults = new ArrayList<>();
    for (long at = fromMillis; at < untilMillis; at += gapMillis(random)) {
      faults.add(
          new PlannedFault(
              at,
              new Fault.RateNamed(
                  servers.get(random.nextInt(servers.size())),
                  random.nextDouble(MAX_PER_SECOND),
                  random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS))));
    }
    String engine = deployment.engineNames().get(random.nextInt(deployment.engines()));
    double low = random.nextDouble(MAX_FINAL_PER_SECOND);
    faults.add(
        new PlannedFault(untilMillis - 1, new Fault.RateNamed(engine, low, FINAL_DURATION_MILLIS)));
    return faults;
  }

  private static long gapMillis(SplittableRandom random) {
    return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
  }
}
