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
 * All policies of one configuration version in the form that the request path uses; immutable.
 *
 * @param version configuration version
 * @param tenantsByKeyHash tenants by the SHA-256 of their API keys, in hexadecimal
 * @param models models and adapters by the names that callers use
 * @param routes routes in the order in which they are matched
 * @param engineLabels labels set by operators, by engine id
 * @param zoneLatencies one-way latency in milliseconds, by zone and other zone
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

  /** Latency in milliseconds between zones for which none is configured. */
  private static final double DEFAULT_LATENCY_MILLIS = 2;

  /**
   * Returns the tenant of an API key. Keys are looked up by their hash, so that the duration of the
   * lookup does not help to guess a key step by step.
   */
  public Optional<Tenant> tenantOfKey(String apiKey) {
    return Optional.ofNullable(tenantsByKeyHash.get(hashOfKey(apiKey)));
  }

  /** Returns the SHA-256 of an API key in hexadecimal, as the configuration contains it. */
  public static String hashOfKey(String apiKey) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(apiKey.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Returns the first route that matches a request's labels, or empty if none does. */
  public Optional<Route> routeOf(Map<String, String> requestLabels) {
    for (Route route : routes) {
      if (route.requests().matches(requestLabels)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the one-way latency between two zones in milliseconds, configured in either direction.
   */
  public double latencyMillis(String zone, String otherZone) {
    if (zone.equals(otherZone)) {
      return 0;
    }
    Double latency = configured(zone, otherZone);
    if (latency == null) {
      latency = configured(otherZone, zone);
    }
    return latency == null ? DEFAULT_LATENCY_MILLIS : latency;
  }

  private @Nullable Double configured(String zone, String otherZone) {
    return zoneLatencies.getOrDefault(zone, Map.of()).get(otherZone);
  }
}
