package org.lockdale.gateway.node;

/** Parses numbers in settings of a gateway node. */
final class SettingParsers {

  private static final int MAX_COUNT = 1_000_000;

  private SettingParsers() {}

  static double share(String text) {
    return number(text, 1);
  }

  static double count(String text) {
    return number(text, MAX_COUNT);
  }

  /**
   * Parses a number from 0 to a maximum.
   *
   * @throws IllegalArgumentException if the text is not such a number
   */
  static double number(String text, int max) {
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException notANumber) {
      throw new IllegalArgumentException("is not a number");
    }
    if (!(value >= 0 && value <= max)) {
      throw new IllegalArgumentException("is not within 0 to " + max);
    }
    return value;
  }
}
