package org.lockdale.soak.standin;

/**
 * Values of entries at which a reader may fail by more than an exception, such as an overflow of
 * its stack. They duplicate the platform's field names on purpose, as {@link ForeignValues} does.
 */
public enum OddValue {
  /** It is nested too deeply for a stack of 256 KiB, and within the usual limits of parsers. */
  NESTED(nested(900)),

  /** One of its fields is nested as deeply. */
  NESTED_FIELD(entry("127.0.0.1:9", "1", nested(900))),

  /** It is nested more deeply than parsers accept. */
  NESTED_BEYOND_PARSERS(nested(20_000)),

  /** Its numbers have 900 digits. */
  LARGE_NUMBERS(entry("127.0.0.1:9", "9".repeat(900), "[]")),

  /** Its port is out of range. */
  PORT_OUT_OF_RANGE(entry("127.0.0.1:65536", "1", "[]")),

  /** Its address looks like an IP address and is none. */
  NO_ADDRESS(entry("999.1.1.1:80", "1", "[]"));

  private final String text;

  OddValue(String text) {
    this.text = text;
  }

  /** Returns the value of an entry, without spaces. */
  public String text() {
    return text;
  }

  private static String nested(int depth) {
    return "{\"models\":".repeat(depth) + "1" + "}".repeat(depth);
  }

  private static String entry(String address, String number, String models) {
    return "{\"service\":\"engines\",\"address\":\""
        + address
        + "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":"
        + number
        + ",\"state\":\"draining\",\"coldRemainingMs\":0,\"seq\":"
        + number
        + ",\"born\":"
        + number
        + ",\"models\":"
        + models
        + "}";
  }
}
