package org.lockdale.gateway.limit;

/** Decision on whether a request is within its tenant's limit. */
public sealed interface Admission {

  /**
   * The request is within the limit and consumes an amount of it.
   *
   * @param tenant name of the tenant
   * @param amount amount that the request consumes, in the unit of the limit
   * @param usableUntilMillis monotonic time until which the amount may be used
   */
  record Granted(String tenant, double amount, long usableUntilMillis) implements Admission {}

  /**
   * The request exceeds the limit.
   *
   * @param retryAfterMillis time after which the request may fit, in milliseconds
   */
  record Denied(long retryAfterMillis) implements Admission {}

  /** No node that decides on limits could be reached. */
  record Unknown() implements Admission {}
}
