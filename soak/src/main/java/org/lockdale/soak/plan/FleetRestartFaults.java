package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws releases of the engines' software, during which all nodes are killed at one moment several
 * times. They are drawn separately from all other faults, so that the other faults of a seed that
 * has failed before stay the same.
 */
final class FleetRestartFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x589965CC75374D2BL;

  /**
   * One plan in this many has these faults. While all nodes are killed repeatedly, few rules with a
   * time bound apply, so the other plans remain without them.
   */
  private static final int PLANS_ONE_IN = 2;

  private static final int MAX_FIRST_DELAY_MILLIS = 1_500;
  private static final int MIN_GAP_MILLIS = 6_000;
  private static final int MAX_GAP_MILLIS = 14_000;

  /**
   * Time between the replacements of two engines; a draining one serves for about three seconds.
   */
  private static final int MIN_RELEASE_STEP_MILLIS = 500;

  private static final int MAX_RELEASE_STEP_MILLIS = 4_000;

  /** Time from the start of a release until the first kill. */
  private static final int MAX_FIRST_KILL_DELAY_MILLIS = 3_000;

  private static final int MIN_KILLS = 2;
  private static final int MAX_KILLS = 4;

  /** Time from the return of the nodes to the next kill; streams begin and are taken up in it. */
  private static final int MIN_UPTIME_MILLIS = 1_500;

  private static final int MAX_UPTIME_MILLIS = 5_000;

  /** Time until killed nodes are started again. */
  private static final int MIN_RETURN_MILLIS = 50;

  private static final int MAX_SHORT_RETURN_MILLIS = 800;
  private static final int MAX_LONG_RETURN_MILLIS = 5_000;

  /** One return in this many is a long one. */
  private static final int LONG_RETURN_ONE_IN = 3;

  private FleetRestartFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    boolean isDrawn = random.nextInt(PLANS_ONE_IN) == 0;
    return isDrawn ? draw(random, fromMillis, untilMillis, deployment) : List.of();
  }

  /** Draws these faults for a plan that has no others. */
  static List<PlannedFault> drawAlone(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    return draw(random, fromMillis, untilMillis, deployment);
  }

  private static List<PlannedFault> draw(
      SplittableRandom random, long fromMillis, long untilMillis, Deployment deployment) {
    Drawing drawing = new Drawing(random, deployment, untilMillis);
    long at = fromMillis + random.nextInt(MAX_FIRST_DELAY_MILLIS);
    while (at < untilMillis) {
      at = drawing.addEpisode(at) + random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    return drawing.faults;
  }

  private static final class Drawing {

    private final SplittableRandom random;
    private final Deployment deployment;
    private final long untilMillis;
    private final List<PlannedFault> faults = new ArrayList<>();
    private boolean newer;

    Drawing(SplittableRandom random, Deployment deployment, long untilMillis) {
      this.random = random;
      this.deployment = deployment;
      this.untilMillis = untilMillis;
      this.newer = random.nextBoolean();
    }

    /** Draws a release with a series of kills, and returns the time at which it ends. */
    long addEpisode(long at) {
      long released = addRelease(at);
      long restarted = addKills(at + random.nextInt(MAX_FIRST_KILL_DELAY_MILLIS));
      boolean takenBack = random.nextBoolean();
      if (takenBack) {
        released = addRelease(at + random.nextLong(Math.max(1, restarted - at)));
      }
      return Math.max(released, restarted);
    }

    /** Draws the replacement of all engines by ones of the other version. */
    private long addRelease(long at) {
      newer = !newer;
      boolean announced = random.nextBoolean();
      long step = random.nextInt(MIN_RELEASE_STEP_MILLIS, MAX_RELEASE_STEP_MILLIS);
      long time = at;
      for (String engine : deployment.engineNames()) {
        add(time, new Fault.SoftwareReleased(engine, newer, announced));
        time += step;
      }
      return time;
    }

    private long addKills(long at) {
      int kills = random.nextInt(MIN_KILLS, MAX_KILLS + 1);
      long time = at;
      for (int number = 0; number < kills; number++) {
        boolean isLong = random.nextInt(LONG_RETURN_ONE_IN) == 0;
        long returnMillis =
            random.nextInt(
                MIN_RETURN_MILLIS, isLong ? MAX_LONG_RETURN_MILLIS : MAX_SHORT_RETURN_MILLIS);
        add(time, new Fault.AllNodesKilled(returnMillis));
        time += returnMillis + random.nextInt(MIN_UPTIME_MILLIS, MAX_UPTIME_MILLIS);
      }
      return time;
    }

    private void add(long at, Fault fault) {
      if (at < untilMillis) {
        faults.add(new PlannedFault(at, fault));
      }
    }
  }
}
