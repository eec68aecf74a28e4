package org.lockdale.soak.standin;

import java.util.List;

/**
 * Values of the servers' table that name no server, in the platform's words, which stand here a
 * second time on purpose as those of {@link Wire} do.
 */
public final class ForeignValues {

  /** An address where nothing listens: whoever sends there takes an entry for a server. */
  private static final String NOWHERE = "127.0.0.1:9";

  /** What another writer puts into a row, in the order in which plans draw from it. */
  public static final List<String> ALL =
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

  private ForeignValues() {}

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
}
