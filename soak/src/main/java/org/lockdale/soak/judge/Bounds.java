package org.lockdale.soak.judge;

/**
 * Time limits and rate limits that a deployment guarantees; all times in milliseconds.
 *
 * @param contactMillis time without disruption after which timed rules apply to a machine
 * @param applyMillis maximum time until an acknowledged configuration is applied
 * @param downgradeMillis maximum time for which a node may still apply an older configuration after
 *     it has applied a newer one
 * @param revokeMillis maximum time for which a revoked key may be served
 * @param drainMillis maximum time for which requests may reach a draining server
 * @param versionMillis maximum time for which requests may start on outdated weights
 * @param leaseMillis minimum time between orders of two lease holders to one server
 * @param retryRatio allowed repeated sends per request
 * @param retrySlack repeated sends that are allowed in each window in addition
 * @param retryWindowMillis window in which repeated sends are counted
 */
public record Bounds(
    long contactMillis,
    long applyMillis,
    long downgradeMillis,
    long revokeMillis,
    long drainMillis,
    long versionMillis,
    long leaseMillis,
    double retryRatio,
    int retrySlack,
    long retryWindowMillis) {

  /** Returns the bounds for the example settings of the deployment documentation. */
  public static Bounds standard() {
    return new Bounds(3_000, 2_000, 250, 5_000, 2_000, 8_000, 3_000, 0.2, 54, 10_000);
  }

  /** Returns these bounds with another number of additional repeated sends. */
  public Bounds withRetrySlack(int slack) {
    return new Bounds(
        contactMillis,
        applyMillis,
        downgradeMillis,
        revokeMillis,
        drainMillis,
        versionMillis,
        leaseMillis,
        retryRatio,
        slack,
        retryWindowMillis);
  }
}
