package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Rates that servers in need name. They are drawn apart from all other faults, so that the plans of
 * seeds that have failed stay as they were.
 */
final class NamedRates {

  /** Tells these drawings from those of the same seed's other faults. */
  private static final long APART = 0xD1B54A32D192ED03L;

  private static final int SHORTEST_GAP_MILLIS = 1_000;
  private static final int LONGEST_GAP_MILLIS = 8_000;
  private static final int SHORTEST_MILLIS = 1_000;
  private static final int LONGEST_MILLIS = 12_000;
  private static final double GREATEST_PER_SECOND = 4;

  /** A rate that is named into the quiet end, where nodes are bound for longest, is a low one. */
  private static final double LAST_PER_SECOND = 1;

  private static final long LAST_MILLIS = 20_000;

  private NamedRates() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    SplittableRandom random = new SplittableRandom(seed ^ APART);
    List<String> servers = deployment.serverNames();
    List<PlannedFault> faults = new ArrayList<>();
    for (long at = fromMillis; at < untilMillis; at += gap(random)) {
      faults.add(
          new PlannedFault(
              at,
              new Fault.RateNamed(
                  servers.get(random.nextInt(servers.size())),
                  random.nextDouble(GREATEST_PER_SECOND),
                  random.nextInt(SHORTEST_MILLIS, LONGEST_MILLIS))));
    }
    String engine = deployment.engineNames().get(random.nextInt(deployment.engines()));
    double low = random.nextDouble(LAST_PER_SECOND);
    faults.add(new PlannedFault(untilMillis - 1, new Fault.RateNamed(engine, low, LAST_MILLIS)));
    return faults;
  }

  private static long gap(SplittableRandom random) {
    return random.nextInt(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS);
  }
}
