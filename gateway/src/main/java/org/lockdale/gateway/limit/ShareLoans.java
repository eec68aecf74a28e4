package org.lockdale.gateway.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Shares that other nodes have lent, each until its time. Messages may come late, twice and in any
 * order. Without I/O; time is injected; not safe for use by several threads.
 */
public final class ShareLoans {

  /** What sums of shares may lack to 1 by rounding. */
  private static final double ROUNDING = 1e-9;

  private record Loan(double share, long sinceMillis, long untilMillis) {}

  private final Map<String, Loan> loans = new HashMap<>();

  /** Until when a loan of a node would have lasted that was given back, or an earlier one. */
  private final Map<String, Long> released = new HashMap<>();

  private double share;
  private long nextEndMillis = Long.MAX_VALUE;

  /** Returns the sum of the shares, from 0 to 1. */
  public double share() {
    return share;
  }

  /** Returns the sum of those shares that have been here for some time without a break. */
  public double shareSince(long sinceMillis) {
    double sum = 0;
    for (Loan loan : loans.values()) {
      sum += loan.sinceMillis() <= sinceMillis ? loan.share() : 0;
    }
    return Math.min(1, sum);
  }

  /** Returns when the next loan ends. */
  public long nextEndMillis() {
    return nextEndMillis;
  }

  /** Returns whether a node has lent its share. */
  public boolean isLentBy(String node) {
    return loans.containsKey(node);
  }

  /** Takes in a loan in place of the node's earlier one; loans up to now must have been ended. */
  public void lent(String node, double part, long untilMillis, long nowMillis) {
    Loan before = loans.get(node);
    boolean outdated = before != null && untilMillis < before.untilMillis();
    boolean givenBack = untilMillis <= released.getOrDefault(node, Long.MIN_VALUE);
    if (untilMillis <= nowMillis || outdated || givenBack) {
      return;
    }
    loans.put(node, new Loan(part, before == null ? nowMillis : before.sinceMillis(), untilMillis));
    sum();
  }

  /** Gives a share back; a loan that ends no later and comes in after this is ignored. */
  public void release(String node, long untilMillis) {
    released.merge(node, untilMillis, Math::max);
    Loan loan = loans.get(node);
    if (loan != null && loan.untilMillis() <= untilMillis) {
      loans.remove(node);
    }
    sum();
  }

  /** Ends the loans whose time has come. */
  public void end(long nowMillis) {
    loans.values().removeIf(loan -> loan.untilMillis() <= nowMillis);
    released.values().removeIf(until -> until <= nowMillis);
    sum();
  }

  private void sum() {
    double shares = 0;
    nextEndMillis = Long.MAX_VALUE;
    for (Loan loan : loans.values()) {
      shares += loan.share();
      nextEndMillis = Math.min(nextEndMillis, loan.untilMillis());
    }
    share = shares > 1 - ROUNDING ? 1 : shares;
  }
}
