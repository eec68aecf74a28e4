package org.lockdale.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Function;
import org.lockdale.settings.Setting;
import org.lockdale.settings.ValueParsers;

/** Declares settings of the kinds that {@link GatewaySettings} has. */
final class SettingDeclarations {

  private static final Duration MILLISECOND = Duration.ofMillis(1);
  private static final Duration HOUR = Duration.ofHours(1);

  private SettingDeclarations() {}

  /** Declares a setting whose value a function parses. */
  static <T> Setting<T> declare(
      String key,
      String type,
      String defaultText,
      String range,
      String description,
      Function<String, T> parser) {
    return new Setting<>(key, type, defaultText, range, description, false, parser);
  }

  /** Declares whether a feature is on. */
  static Setting<Toggle> toggle(String key, String defaultText, String description) {
    return declare(key, "text", defaultText, "auto, on or off", description, Toggle::parse);
  }

  /** Declares an integer within a range. */
  static Setting<Integer> integer(
      String key, String defaultText, int least, int most, String description) {
    String range = least + " to " + most;
    return declare(
        key, "integer", defaultText, range, description, ValueParsers.integer(least, most));
  }

  /** Declares an address that must be set. */
  static Setting<InetSocketAddress> address(String key, String description) {
    return declare(key, "IP:port", "", "one address", description, ValueParsers::address);
  }

  /** Declares a duration from a millisecond to an hour. */
  static Setting<Duration> duration(String key, String defaultText, String description) {
    return declare(
        key,
        "duration",
        defaultText,
        "1ms to 60m",
        description,
        ValueParsers.duration(MILLISECOND, HOUR));
  }
}
