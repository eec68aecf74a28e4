package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws kills of all engines, several in a row. They form plans of their own. */
final class CrashSeriesFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x4528F4914F6CDD1DL;

  private static final int MIN_KILLS = 4;
  private static final int MAX_KILLS = 6;

  /** Time until killed engines are started again. */
  private static final int MIN_RETURN_MILLIS = 300;

  private static final int MAX_RETURN_MILLIS = 3_000;

  /** Time between the return of the engines and the next kill. */
  private static final int MIN_UPTIME_MILLIS = 1_500;

  private static final int MAX_UPTIME_MILLIS = 8_000;

  private CrashSeriesFaults() {}

  static List<PlannedFault> draw(long seed, long fromMillis, long untilMillis) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    List<PlannedFault> faults = new ArrayList<>();
    int kills = random.nextInt(MIN_KILLS, MAX_KILLS + 1);
    long at = fromMillis;
    for (int kill = 0; kill < kills && at < untilMillis; kill++) {
      long returnMillis = random.nextInt(MIN_RETURN_MILLIS, MAX_RETURN_MILLIS);
      faults.add(new PlannedFault(at, new Fault.AllEnginesKilled(returnMillis)));
      at += returnMillis + random.nextInt(MIN_UPTIME_MILLIS, MAX_UPTIME_MILLIS);
    }
    return faults;
  }
}
