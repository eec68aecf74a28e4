package org.lockdale.gateway.configuration;

import org.jspecify.annotations.Nullable;

/**
 * Limit on a tenant's requests at all nodes together.
 *
 * @param ratePerSecond what is allowed a second in the long run; more than 0
 * @param burst what is allowed beyond that at one moment
 * @param unit what is counted
 * @param plainTokens what a request counts that doesn't tell its tokens, where tokens are counted
 */
public record TenantLimit(double ratePerSecond, double burst, LimitUnit unit, long plainTokens) {

  /** Checks the arguments. */
  public TenantLimit {
    if (!(ratePerSecond > 0) || !(burst >= 0) || plainTokens < 0) {
      throw new IllegalArgumentException("a limit has a positive rate and no negative parts");
    }
  }

  /**
   * Returns what a request counts.
   *
   * @param tokens tokens of the request as the caller tells them, or null
   */
  public double amountOf(@Nullable Long tokens) {
    if (unit == LimitUnit.REQUESTS) {
      return 1;
    }
    return tokens == null ? plainTokens : tokens;
  }
}
