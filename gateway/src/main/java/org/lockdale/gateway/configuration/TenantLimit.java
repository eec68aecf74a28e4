package org.lockdale.gateway.configuration;

import org.jspecify.annotations.Nullable;

/**
 * Limit on the requests of a tenant at all nodes together.
 *
 * @param ratePerSecond amount that is allowed per second on average; more than 0
 * @param burst amount that is allowed beyond that at once
 * @param unit unit of the amounts
 * @param plainTokens amount of a request without a specified number of tokens, if tokens are
 *     counted
 */
public record TenantLimit(double ratePerSecond, double burst, LimitUnit unit, long plainTokens) {

  /**
   * Validates the limit.
   *
   * @throws IllegalArgumentException if the rate is not positive, or the burst or the plain tokens
   *     are negative
   */
  public TenantLimit {
    if (!(ratePerSecond > 0) || !(burst >= 0) || plainTokens < 0) {
      throw new IllegalArgumentException(
          "the rate of a limit must be positive; its burst and plain tokens must not be negative");
    }
  }

  /**
   * Returns the amount that a request consumes.
   *
   * @param tokens number of tokens of the request as specified by the caller, or null
   */
  public double amountOf(@Nullable Long tokens) {
    if (unit == LimitUnit.REQUESTS) {
      return 1;
    }
    return tokens == null ? plainTokens : tokens;
  }
}
