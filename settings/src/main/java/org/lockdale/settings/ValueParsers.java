package org.lockdale.settings;

import java.math.BigDecimal;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parsers of setting values. For an invalid value each throws an {@link IllegalArgumentException}
 * whose message is the reason.
 */
public final class ValueParsers {

  private static final Pattern DURATION = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,9})?)(ms|s|m)");
  private static final Pattern ADDRESS = Pattern.compile("(\\[[0-9a-fA-F:]+]|[0-9.]+):(\\d+)");

  private static final Pattern IPV4 =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");

  private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F]*:[0-9a-fA-F:]+");

  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;
  private static final String NONE = "none";

  private ValueParsers() {}

  /** Returns a parser of integers within an inclusive range. */
  public static Function<String, Integer> integer(int min, int max) {
    return text -> {
      int value;
      try {
        value = Integer.parseInt(text);
      } catch (NumberFormatException notANumber) {
        throw new IllegalArgumentException("is not a whole number");
      }
      if (value < min || value > max) {
        throw new IllegalArgumentException("is not within " + min + " to " + max);
      }
      return value;
    };
  }

  /** Returns a parser of durations within an inclusive range, such as 250ms, 5s or 2m. */
  public static Function<String, Duration> duration(Duration min, Duration max) {
    return text -> {
      Matcher matcher = DURATION.matcher(text);
      if (!matcher.matches()) {
        throw new IllegalArgumentException("is not a duration such as 250ms, 5s or 2m");
      }
      BigDecimal amount = new BigDecimal(matcher.group(1));
      Duration unit =
          switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(1);
            case "s" -> Duration.ofSeconds(1);
            default -> Duration.ofMinutes(1);
          };
      Duration value =
          Duration.ofNanos(amount.multiply(BigDecimal.valueOf(unit.toNanos())).longValue());
      if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
        throw new IllegalArgumentException("is not within " + min + " to " + max);
      }
      return value;
    };
  }

  /** Returns a parser of names of 1 to 63 lower-case letters, digits, dots and hyphens. */
  public static Function<String, String> name() {
    return text -> {
      if (!text.matches("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")) {
        throw new IllegalArgumentException(
            "is not a name of 1 to 63 lower-case letters, digits, dots and hyphens");
      }
      return text;
    };
  }

  /** Returns a parser of texts of a minimum length in characters. */
  public static Function<String, String> text(int minLength) {
    return text -> {
      if (text.length() < minLength) {
        throw new IllegalArgumentException("is shorter than " + minLength + " characters");
      }
      return text;
    };
  }

  /** Parses an IP address; host names are rejected, without a lookup. */
  public static InetAddress ipAddress(String text) {
    if (!isIpv4(text) && !IPV6.matcher(text).matches()) {
      throw new IllegalArgumentException("is not an IP address");
    }
    try {
      return InetAddress.getByName(text);
    } catch (UnknownHostException malformed) {
      throw new IllegalArgumentException("is not an IP address");
    }
  }

  /** Returns whether a text can't be taken for the name of a host, as 999.1.1.1 would be. */
  private static boolean isIpv4(String text) {
    Matcher octets = IPV4.matcher(text);
    if (!octets.matches()) {
      return false;
    }
    for (int group = 1; group <= octets.groupCount(); group++) {
      if (Integer.parseInt(octets.group(group)) > MAX_OCTET) {
        return false;
      }
    }
    return true;
  }

  /** Parses an IP address with a port. */
  public static InetSocketAddress address(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("is not an IP address and port such as 10.0.0.5:7080");
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port > MAX_PORT) {
      throw new IllegalArgumentException("has a port over " + MAX_PORT);
    }
    return new InetSocketAddress(ipAddress(matcher.group(1).replaceAll("[\\[\\]]", "")), port);
  }

  /** Parses a comma-separated list of addresses; "none" is the empty list. */
  public static List<InetSocketAddress> addresses(String text) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    if (text.equals(NONE)) {
      return addresses;
    }
    for (String part : text.split(",")) {
      if (!part.isBlank()) {
        addresses.add(address(part.trim()));
      }
    }
    return List.copyOf(addresses);
  }
}
