package org.lockdale.router.policy;

/**
 * Limits of one tenant at one node.
 *
 * @param maxInFlight most requests at once, waiting ones included
 * @param requestsPerSecond rate over a second
 * @param weight share of capacity in relation to other tenants when there is not enough
 */
public record TenantLimit(int maxInFlight, int requestsPerSecond, int weight) {

  /** Weight of a tenant that no limit gives one. */
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
