package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.lockdale.soak.standin.ForeignValues;

/**
 * Draws entries of other writers in the server table. They are drawn separately from all other
 * faults, so that the other faults of a seed that has failed before stay the same.
 */
final class ForeignEntryFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x9E3779B97F4A7C15L;

  private static final int MIN_GAP_MILLIS = 500;
  private static final int MAX_GAP_MILLIS = 4_000;
  private static final int MAX_DURATION_MILLIS = 5_000;

  private ForeignEntryFaults() {}

  static List<PlannedFault> draw(long seed, long fromMillis, long untilMillis) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    List<PlannedFault> faults = new ArrayList<>();
    for (long at = fromMillis; at < untilMillis; at += gapMillis(random)) {
      String value = ForeignValues.ALL.get(random.nextInt(ForeignValues.ALL.size()));
      String key = "foreign-" + random.nextInt(ForeignValues.ALL.size());
      faults.add(
          new PlannedFault(
              at, new Fault.ForeignEntry(key, value, random.nextInt(MAX_DURATION_MILLIS))));
    }
    return faults;
  }

  private static long gapMillis(SplittableRandom random) {
    return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
  }
}
