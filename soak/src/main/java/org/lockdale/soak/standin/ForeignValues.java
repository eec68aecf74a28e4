package org.lockdale.soak.standin;

import java.util.List;

/**
 * Values in the server table that describe no usable server. They duplicate the platform's field
 * names on purpose, for the same reason as {@link HeaderNames}.
 */
public final class ForeignValues {

  /**
   * An address on which nothing listens; a node that sends to it has taken the entry for a server.
   */
  private static final String UNUSED_ADDRESS = "127.0.0.1:9";

  /**
   * Values that another writer puts into the table; plans draw by index, so the order must stay.
   */
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
        + UNUSED_ADDRESS
        + "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1}";
  }
}
