package org.lockdale.router.policy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * All policies of one configuration version, ready for the request path; immutable.
 *
 * @param version configuration version
 * @param tenantsByKeyHash tenants by the SHA-256 of their API keys, in hexadecimal
 * @param models models and adapters by the name that callers use
 * @param routes routes in order
 * @param engineLabels labels that operators gave to engines, by engine id
 * @param zoneLatencies one-way latency in milliseconds by zone and other zone
 */
public record PolicySet(
    long version,
    Map<String, Tenant> tenantsByKeyHash,
    Map<String, ServedModel> models,
    List<Route> routes,
    Map<String, Map<String, String>> engineLabels,
    Map<String, Map<String, Double>> zoneLatencies) {

  /** No policies. */
  public static final PolicySet EMPTY =
      new PolicySet(0, Map.of(), Map.of(), List.of(), Map.of(), Map.of());

  /** Latency between zones that the configuration says nothing of, in milliseconds. */
  private static final double DEFAULT_LATENCY_MILLIS = 2;

  /**
   * Returns the tenant of an API key. Keys are looked up by their hash: how long that takes tells
   * nothing about a key that could be guessed from it step by step.
   */
  public Optional<Tenant> tenantOfKey(String apiKey) {
    return Optional.ofNullable(tenantsByKeyHash.get(hashOfKey(apiKey)));
  }

  /** Returns the SHA-256 of an API key in hexadecimal, as configuration holds it. */
  public static String hashOfKey(String apiKey) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(apiKey.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Returns the first route that matches a request's labels. */
  public Optional<Route> routeOf(Map<String, String> requestLabels) {
    for (Route route : routes) {
      if (route.requests().matches(requestLabels)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the one-way latency between two zones in milliseconds. */
  public double latencyMillis(String zone, String otherZone) {
    if (zone.equals(otherZone)) {
      return 0;
    }
    Double given = configured(zone, otherZone);
    if (given == null) {
      given = configured(otherZone, zone);
    }
    return given == null ? DEFAULT_LATENCY_MILLIS : given;
  }

  private @Nullable Double configured(String zone, String otherZone) {
    return zoneLatencies.getOrDefault(zone, Map.of()).get(otherZone);
  }
}
