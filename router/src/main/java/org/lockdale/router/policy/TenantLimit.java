package org.lockdale.router.policy;

/**
 * Limits of one tenant at one node.
 *
 * @param maxInFlight maximum number of concurrent requests, including queued ones
 * @param requestsPerSecond maximum number of requests in each second
 * @param weight relative share of capacity among tenants while requests are queued
 */
public record TenantLimit(int maxInFlight, int requestsPerSecond, int weight) {

  /** Weight of a tenant for which no limit sets one. */
  public static final int DEFAULT_WEIGHT = 100;

  /** No limits and the default weight. */
  public static final TenantLimit NONE =
      new TenantLimit(Integer.MAX_VALUE, Integer.MAX_VALUE, DEFAULT_WEIGHT);

  /** Returns the stricter of both for each limit, and the weight of the other. */
  TenantLimit and(TenantLimit other) {
    return new TenantLimit(
        Math.min(maxInFlight, other.maxInFlight),
        Math.min(requestsPerSecond, other.requestsPerSecond),
        other.weight);
  }
}
