package org.lockdale.gateway.limit;

import java.util.function.DoubleConsumer;

/**
 * Shares that other nodes have lent to this one, and their integral over time, from which buckets
 * compute what they have gained. Performs no I/O; the time is passed in. Not thread-safe.
 */
public final class BorrowedShares {

  private final ShareLoans loans = new ShareLoans();
  private final DoubleConsumer onChange;

  /** Integral of the shares over time: a share of 1 adds 1 per millisecond. */
  private double shareMillis;

  private long updatedAtMillis;

  /**
   * Creates an instance without any share.
   *
   * @param nowMillis monotonic time
   * @param onChange receives the sum of the shares before each change of it, at the time of the
   *     change; the sum and the integral that are returned then are those of that time
   */
  public BorrowedShares(long nowMillis, DoubleConsumer onChange) {
    this.updatedAtMillis = nowMillis;
    this.onChange = onChange;
  }

  /** Returns the sum of the shares, from 0 to 1, at the time of the last update. */
  public double share() {
    return loans.share();
  }

  /** Returns the integral of the shares up to the last update, in milliseconds. */
  public double shareMillis() {
    return shareMillis;
  }

  /** Returns the monotonic time of the last update. */
  public long updatedAtMillis() {
    return updatedAtMillis;
  }

  /** Returns whether a node has lent its share, at the time of the last update. */
  public boolean isLentBy(String node) {
    return loans.isLentBy(node);
  }

  /**
   * Records that a node lends its share, in place of its earlier loan.
   *
   * @param node id of the node
   * @param share the node's share, from 0 to 1
   * @param untilMillis monotonic time at which the loan ends
   * @param nowMillis monotonic time
   */
  public void lent(String node, double share, long untilMillis, long nowMillis) {
    update(nowMillis);
    double before = loans.share();
    loans.lent(node, share, untilMillis, nowMillis);
    notifyOfChange(before);
  }

  /** Releases the share of a node. A loan that ends no later and arrives after this is ignored. */
  public void release(String node, long untilMillis, long nowMillis) {
    update(nowMillis);
    double before = loans.share();
    loans.release(node, untilMillis);
    notifyOfChange(before);
  }

  /** Ends the loans that have ended by now, and adds the time until now to the integral. */
  public void update(long nowMillis) {
    while (loans.nextEndMillis() <= nowMillis) {
      long endMillis = loans.nextEndMillis();
      elapse(endMillis);
      double before = loans.share();
      loans.end(endMillis);
      notifyOfChange(before);
    }
    elapse(nowMillis);
  }

  /**
   * Excludes the time of a suspension of the machine from the integral.
   *
   * @param millis duration of the suspension, in milliseconds
   */
  public void excludeSuspension(long millis) {
    updatedAtMillis += millis;
  }

  private void elapse(long nowMillis) {
    shareMillis += loans.share() * Math.max(0, nowMillis - updatedAtMillis);
    updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
  }

  private void notifyOfChange(double before) {
    if (loans.share() != before) {
      onChange.accept(before);
    }
  }
}
