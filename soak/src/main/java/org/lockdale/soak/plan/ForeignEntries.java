package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.lockdale.soak.standin.ForeignValues;

/**
 * Entries of other writers in the servers' table. They are drawn apart from all other faults, so
 * that the plans of seeds that have failed stay as they were.
 */
final class ForeignEntries {

  /** Tells these drawings from those of the same seed's other faults. */
  private static final long APART = 0x9E3779B97F4A7C15L;

  private static final int SHORTEST_GAP_MILLIS = 500;
  private static final int LONGEST_GAP_MILLIS = 4_000;
  private static final int LONGEST_MILLIS = 5_000;

  private ForeignEntries() {}

  static List<PlannedFault> draw(long seed, long fromMillis, long untilMillis) {
    SplittableRandom random = new SplittableRandom(seed ^ APART);
    List<PlannedFault> faults = new ArrayList<>();
    for (long at = fromMillis; at < untilMillis; at += gap(random)) {
      String value = ForeignValues.ALL.get(random.nextInt(ForeignValues.ALL.size()));
      String key = "foreign-" + random.nextInt(ForeignValues.ALL.size());
      faults.add(
          new PlannedFault(at, new Fault.ForeignEntry(key, value, random.nextInt(LONGEST_MILLIS))));
    }
    return faults;
  }

  private static long gap(SplittableRandom random) {
    return random.nextInt(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS);
  }
}
