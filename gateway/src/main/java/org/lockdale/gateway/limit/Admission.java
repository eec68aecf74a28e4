package org.lockdale.gateway.limit;

/** Whether a request lies within its tenant's limit. */
public sealed interface Admission {

  /**
   * It does, and counts.
   *
   * @param tenant name of the tenant
   * @param amount what it counts
   * @param usableUntilMillis monotonic time until which the amount may be used
   */
  record Granted(String tenant, double amount, long usableUntilMillis) implements Admission {}

  /**
   * It lies beyond the limit.
   *
   * @param retryAfterMillis time after which it may fit
   */
  record Beyond(long retryAfterMillis) implements Admission {}

  /** Nobody could be asked. */
  record Unknown() implements Admission {}
}
