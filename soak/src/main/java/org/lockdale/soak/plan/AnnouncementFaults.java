package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws servers that announce draining in responses only, and servers that request a backoff. They
 * are drawn separately from all other faults, so that the other faults of a seed that has failed
 * before stay the same.
 */
final class AnnouncementFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x8CB92BA72F3D8DD7L;

  private static final int MIN_GAP_MILLIS = 2_000;
  private static final int MAX_GAP_MILLIS = 9_000;
  private static final int MIN_DURATION_MILLIS = 2_000;
  private static final int MAX_DURATION_MILLIS = 9_000;

  /**
   * Exceeds the 2 s after which no requests may reach a draining server, so that requests are sent
   * later than that, but before its record shows that it is draining.
   */
  private static final int MIN_UNRECORDED_MILLIS = 2_500;

  private static final int MAX_UNRECORDED_MILLIS = 6_000;
  private static final int MIN_BACKOFF_MILLIS = 600;
  private static final int MAX_BACKOFF_MILLIS = 4_000;

  /** One backoff fault in this many affects all engines. */
  private static final int WHOLE_SERVICE_ONE_IN = 4;

  private AnnouncementFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    List<PlannedFault> faults = new ArrayList<>();
    for (long at = fromMillis; at < untilMillis; at += gapMillis(random)) {
      List<String> servers = deployment.serverNames();
      String server = servers.get(random.nextInt(servers.size()));
      if (random.nextInt(3) == 0) {
        long unrecordedMillis = random.nextInt(MIN_UNRECORDED_MILLIS, MAX_UNRECORDED_MILLIS);
        faults.add(new PlannedFault(at, new Fault.LeavingSaid(server, unrecordedMillis)));
        continue;
      }
      boolean wholeService = random.nextInt(WHOLE_SERVICE_ONE_IN) == 0;
      List<String> backingOff = wholeService ? deployment.engineNames() : List.of(server);
      long backoffMillis = random.nextInt(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
      double share = random.nextDouble();
      long lastsMillis = random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
      for (String each : backingOff) {
        faults.add(
            new PlannedFault(at, new Fault.RestWanted(each, backoffMillis, share, lastsMillis)));
      }
    }
    return faults;
  }

  private static long gapMillis(SplittableRandom random) {
    return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
  }
}
