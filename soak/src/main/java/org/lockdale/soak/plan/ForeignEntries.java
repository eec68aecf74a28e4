package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

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

  /** An address where nothing listens: whoever sends there takes an entry for a server. */
  private static final String NOWHERE = "127.0.0.1:9";

  private static final List<String> VALUES =
      List.of(
          "[]",
          "{\"service\":",
          "not-json",
          "{\"service\":\"engines\"}",
          entry("engines", "\"16\"", "ready"),
          entry("engines", "16", "resting"),
          entry("plain", "-1", "ready"),
          entry("plain", "1e99", "ready"),
          entry("nowhere", "16", "ready"));

  private ForeignEntries() {}

  private static String entry(String service, String slots, String state) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + NOWHERE
        + "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1}";
  }

  static List<PlannedFault> draw(long seed, long fromMillis, long untilMillis) {
    SplittableRandom random = new SplittableRandom(seed ^ APART);
    List<PlannedFault> faults = new ArrayList<>();
    for (long at = fromMillis; at < untilMillis; at += gap(random)) {
      String value = VALUES.get(random.nextInt(VALUES.size()));
      String key = "foreign-" + random.nextInt(VALUES.size());
      faults.add(
          new PlannedFault(at, new Fault.ForeignEntry(key, value, random.nextInt(LONGEST_MILLIS))));
    }
    return faults;
  }

  private static long gap(SplittableRandom random) {
    return random.nextInt(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS);
  }
}
