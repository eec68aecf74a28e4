package org.lockdale.gateway.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Shares that other nodes have lent to this one, each until its end time. Messages may arrive late,
 * twice and in any order. Performs no I/O; the time is passed in. Not thread-safe.
 */
public final class ShareLoans {

  /** Rounding error up to which a sum of shares counts as 1. */
  private static final double ROUNDING = 1e-9;

  private record Loan(double share, long sinceMillis, long untilMillis) {}

  private final Map<String, Loan> loans = new HashMap<>();

  /**
   * End time of the latest loan that was released, by node. Loans that end no later are ignored.
   */
  private final Map<String, Long> released = new HashMap<>();

  private double share;
  private long nextEndMillis = Long.MAX_VALUE;

  /** Returns the sum of the shares, from 0 to 1. */
  public double share() {
    return share;
  }

  /** Returns the sum of the shares that have been held without a break since a time or longer. */
  public double shareSince(long sinceMillis) {
    double sum = 0;
    for (Loan loan : loans.values()) {
      sum += loan.sinceMillis() <= sinceMillis ? loan.share() : 0;
    }
    return Math.min(1, sum);
  }

  /** Returns the time at which the next loan ends; {@link Long#MAX_VALUE} if there is none. */
  public long nextEndMillis() {
    return nextEndMillis;
  }

  /** Returns whether a node has lent its share. */
  public boolean isLentBy(String node) {
    return loans.containsKey(node);
  }

  /**
   * Records a loan in place of the node's earlier one. Loans that have ended by now must have been
   * removed by {@link #end}.
   */
  public void lent(String node, double part, long untilMillis, long nowMillis) {
    Loan previous = loans.get(node);
    boolean isOutdated = previous != null && untilMillis < previous.untilMillis();
    boolean isReleased = untilMillis <= released.getOrDefault(node, Long.MIN_VALUE);
    if (untilMillis <= nowMillis || isOutdated || isReleased) {
      return;
    }
    loans.put(
        node, new Loan(part, previous == null ? nowMillis : previous.sinceMillis(), untilMillis));
    updateShare();
  }

  /**
   * Removes the loan of a node that was released. A loan that ends no later and arrives after this
   * is ignored.
   */
  public void release(String node, long untilMillis) {
    released.merge(node, untilMillis, Math::max);
    Loan loan = loans.get(node);
    if (loan != null && loan.untilMillis() <= untilMillis) {
      loans.remove(node);
    }
    updateShare();
  }

  /** Removes the loans that have ended. */
  public void end(long nowMillis) {
    loans.values().removeIf(loan -> loan.untilMillis() <= nowMillis);
    released.values().removeIf(until -> until <= nowMillis);
    updateShare();
  }

  private void updateShare() {
    double shares = 0;
    nextEndMillis = Long.MAX_VALUE;
    for (Loan loan : loans.values()) {
      shares += loan.share();
      nextEndMillis = Math.min(nextEndMillis, loan.untilMillis());
    }
    share = shares > 1 - ROUNDING ? 1 : shares;
  }
}
