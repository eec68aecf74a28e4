package org.lockdale.gateway.node;

/** State of a feature that may follow from another setting. */
public enum Toggle {
  /** On where the loss of a zone has to be tolerated. */
  AUTO,
  /** On. */
  ON,
  /** Off. */
  OFF;

  /**
   * Parses the value of a setting. Unquoted, on and off are booleans in YAML, which arrive as true
   * and false.
   *
   * @throws IllegalArgumentException if the text is none of auto, on and off
   */
  static Toggle parse(String text) {
    return switch (text) {
      case "auto" -> AUTO;
      case "on", "true" -> ON;
      case "off", "false" -> OFF;
      default -> throw new IllegalArgumentException("is none of auto, on and off");
    };
  }
}
