package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.lockdale.soak.standin.OddValue;

/**
 * Draws entries in all tables that a reader may fail at in another way than by rejecting them. They
 * are drawn separately from all other faults, so that the other faults of a seed that has failed
 * before stay the same.
 */
final class OddEntryFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x7F4A7C159E3779B9L;

  /** Tables with the start of a key that is read in each. */
  private static final List<String> PLACES =
      List.of(
          "servers/odd-",
          "servers/odd-",
          "op/version/odd-",
          "lockdale/node/odd-",
          "lockdale/suspect/odd-",
          "lockdale/suspect-trial/odd-");

  private static final int KEYS = 4;
  private static final int MIN_GAP_MILLIS = 400;
  private static final int MAX_GAP_MILLIS = 3_000;
  private static final int MAX_DURATION_MILLIS = 4_000;

  private OddEntryFaults() {}

  static List<PlannedFault> draw(long seed, long fromMillis, long untilMillis) {
    SplittableRandom random = new SplittableRandom(seed ^ SEED_SALT);
    List<PlannedFault> faults = new ArrayList<>();
    long at = fromMillis;
    while (at < untilMillis) {
      faults.add(new PlannedFault(at, oddEntry(random)));
      at += random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    return faults;
  }

  private static Fault oddEntry(SplittableRandom random) {
    String place = PLACES.get(random.nextInt(PLACES.size()));
    int separator = place.indexOf('/');
    String key = place.substring(separator + 1) + random.nextInt(KEYS);
    OddValue[] values = OddValue.values();
    return new Fault.OddEntry(
        place.substring(0, separator),
        key,
        values[random.nextInt(values.length)],
        random.nextInt(MAX_DURATION_MILLIS));
  }
}
