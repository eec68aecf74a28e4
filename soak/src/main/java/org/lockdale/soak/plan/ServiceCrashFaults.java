package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws kills of all engines at one moment, some of which overlap with faults of a node or the
 * store. They form plans of their own.
 */
final class ServiceCrashFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x2545F4914F6CDD1DL;

  private static final int MAX_FIRST_DELAY_MILLIS = 3_000;
  private static final int MAX_KILLS = 3;

  /** Time until killed engines are started again. */
  private static final int MIN_RETURN_MILLIS = 500;

  private static final int MAX_RETURN_MILLIS = 5_000;

  /** Time between the return of the engines and the next kill. */
  private static final int MIN_UPTIME_MILLIS = 500;

  private static final int MAX_UPTIME_MILLIS = 9_000;

  /** Time from a kill to another fault that overlaps with what follows from it. */
  private static final int MAX_OVERLAP_DELAY_MILLIS = 8_000;

  private static final int MIN_OVERLAP_MILLIS = 200;
  private static final int MAX_OVERLAP_MILLIS = 4_000;

  private static final List<Fault.ProcessTrouble> NODE_TROUBLES =
      List.of(
          Fault.ProcessTrouble.KILLED, Fault.ProcessTrouble.PAUSED, Fault.ProcessTrouble.RESTARTED);

  private static final List<Fault.StoreTrouble> STORE_TROUBLES =
      List.of(Fault.StoreTrouble.DOWN, Fault.StoreTrouble.SILENT, Fault.StoreTrouble.FORGETFUL);

  private ServiceCrashFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    List<PlannedFault> faults = new ArrayList<>();
    int kills = random.nextInt(1, MAX_KILLS + 1);
    long at = fromMillis + random.nextInt(MAX_FIRST_DELAY_MILLIS);
    for (int kill = 0; kill < kills && at < untilMillis; kill++) {
      long returnMillis = random.nextInt(MIN_RETURN_MILLIS, MAX_RETURN_MILLIS);
      faults.add(new PlannedFault(at, new Fault.AllEnginesKilled(returnMillis)));
      long overlapAt = at + random.nextInt(MAX_OVERLAP_DELAY_MILLIS);
      if (random.nextBoolean() && overlapAt < untilMillis) {
        faults.add(new PlannedFault(overlapAt, overlapping(random, deployment)));
      }
      at += returnMillis + random.nextInt(MIN_UPTIME_MILLIS, MAX_UPTIME_MILLIS);
    }
    return faults;
  }

  private static Fault overlapping(SplittableRandom random, Deployment deployment) {
    long lastsMillis = random.nextInt(MIN_OVERLAP_MILLIS, MAX_OVERLAP_MILLIS);
    if (random.nextBoolean()) {
      return new Fault.OnStore(pick(random, STORE_TROUBLES), lastsMillis);
    }
    return new Fault.OnProcess(
        pick(random, deployment.nodeNames()), pick(random, NODE_TROUBLES), lastsMillis);
  }

  private static <T> T pick(SplittableRandom random, List<T> items) {
    return items.get(random.nextInt(items.size()));
  }
}
