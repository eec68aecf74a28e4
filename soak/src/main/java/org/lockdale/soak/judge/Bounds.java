package org.lockdale.soak.judge;

/**
 * Bounds of the deployment; all times in milliseconds.
 *
 * @param contactMillis time without disruption after which a machine is bound by timed rules
 * @param applyMillis longest time until a configuration is in force
 * @param downgradeMillis longest time for which a node may act on an older configuration than it
 *     has shown
 * @param revokeMillis longest time for which a revoked key may be served
 * @param drainMillis longest time for which requests may reach a server that leaves
 * @param versionMillis longest time for which requests may begin on older weights
 * @param leaseMillis least time between orders of two holders
 * @param retryRatio repeated sends for each request
 * @param retrySlack repeated sends that are free in each window
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

  /** Returns the bounds of the example settings of the users' deployment page. */
  public static Bounds standard() {
    return new Bounds(3_000, 2_000, 250, 5_000, 2_000, 8_000, 3_000, 0.2, 54, 10_000);
  }

  /** Returns these bounds with another number of free repeated sends. */
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
