package org.lockdale.gateway.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lockdale.gateway.limit.ShareLoans;

/**
 * Requests that this node may let go to back ends which name a rate. Nodes lend their shares of all
 * rates to the node that places their requests; a share counts at one node at a time, so however
 * many nodes place requests, they keep to each rate together. A count begins empty, since others
 * may have sent what the rate allows. Without I/O; time is injected; not safe for use by several
 * threads.
 */
public final class RateAllowances {

  private static final double WHOLE_REQUEST = 1;

  /** What sums of small gains may lack by rounding. */
  private static final double ROUNDING = 1e-6;

  private static final class Bucket {
    private RateBound bound;
    private double level;

    /** Value of {@link #lentMillis} up to which the level counts. */
    private double lentMillis;

    Bucket(RateBound bound, double lentMillis) {
      this.bound = bound;
      this.lentMillis = lentMillis;
    }

    void settle(double lentMillisNow, double share) {
      level = Math.min(level + bound.gained(lentMillisNow - lentMillis), bound.capacity(share));
      lentMillis = lentMillisNow;
    }
  }

  private final ShareLoans shares = new ShareLoans();
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Sum of the shares over time: one share of 1 adds 1 a millisecond. */
  private double lentMillis;

  private long atMillis;

  /** Creates the allowances of a node that nobody has lent a share to. */
  public RateAllowances(long nowMillis) {
    this.atMillis = nowMillis;
  }

  /** Takes in that a back end takes a rate. */
  public void limit(String backend, double perSecond, long nowMillis) {
    advance(nowMillis);
    RateBound bound = new RateBound(perSecond);
    Bucket bucket = buckets.computeIfAbsent(backend, id -> new Bucket(bound, lentMillis));
    bucket.settle(lentMillis, shares.share());
    bucket.bound = bound;
    bucket.settle(lentMillis, shares.share());
  }

  /** Takes in that a back end names no rate any more. */
  public void unlimit(String backend) {
    buckets.remove(backend);
  }

  /** Forgets back ends that are gone. */
  public void retain(Set<String> backends) {
    buckets.keySet().retainAll(backends);
  }

  /** Returns whether a request may go to a back end now. */
  public boolean hasRoom(String backend, long nowMillis) {
    Bucket bucket = buckets.get(backend);
    if (bucket == null) {
      return true;
    }
    advance(nowMillis);
    bucket.settle(lentMillis, shares.share());
    return bucket.level >= WHOLE_REQUEST - ROUNDING;
  }

  /** Counts a request to a back end, if one may go there now. */
  public boolean tryTake(String backend, long nowMillis) {
    if (!hasRoom(backend, nowMillis)) {
      return false;
    }
    Bucket bucket = buckets.get(backend);
    if (bucket != null) {
      bucket.level -= WHOLE_REQUEST;
    }
    return true;
  }

  /**
   * Returns after which time a request may go to a back end, in milliseconds, if the shares at hand
   * stay; positive infinity where that is never.
   */
  public double waitMillis(String backend, long nowMillis) {
    if (hasRoom(backend, nowMillis)) {
      return 0;
    }
    Bucket bucket = buckets.get(backend);
    double share = shares.share();
    return bucket.bound.capacity(share) < WHOLE_REQUEST - ROUNDING
        ? Double.POSITIVE_INFINITY
        : (WHOLE_REQUEST - bucket.level) / bucket.bound.gained(share);
  }

  /** Returns the requests a second that this node may send to a back end with a rate. */
  public double perSecond(String backend) {
    Bucket bucket = buckets.get(backend);
    return bucket == null ? Double.POSITIVE_INFINITY : bucket.bound.perSecond() * shares.share();
  }

  /** Takes in that a node lends its share until a time, in place of what it lent before. */
  public void lent(String node, double share, long untilMillis, long nowMillis) {
    advance(nowMillis);
    double before = shares.share();
    shares.lent(node, share, untilMillis, nowMillis);
    settleAfter(before);
  }

  /** Gives a node's share back. A loan that ends no later and comes in after this is ignored. */
  public void release(String node, long untilMillis, long nowMillis) {
    advance(nowMillis);
    double before = shares.share();
    shares.release(node, untilMillis);
    settleAfter(before);
  }

  /** Returns the sum of the shares at hand, from 0 to 1. */
  public double share(long nowMillis) {
    advance(nowMillis);
    return shares.share();
  }

  /** Returns whether a node has lent its share. */
  public boolean isLentBy(String node, long nowMillis) {
    advance(nowMillis);
    return shares.isLentBy(node);
  }

  private void advance(long nowMillis) {
    while (shares.nextEndMillis() <= nowMillis) {
      elapse(shares.nextEndMillis());
      double before = shares.share();
      shares.end(shares.nextEndMillis());
      settleAfter(before);
    }
    elapse(nowMillis);
  }

  private void elapse(long nowMillis) {
    lentMillis += shares.share() * Math.max(0, nowMillis - atMillis);
    atMillis = Math.max(atMillis, nowMillis);
  }

  /** Brings all levels up to date where the share has changed, which it held at until now. */
  private void settleAfter(double shareBefore) {
    double share = shares.share();
    if (share != shareBefore) {
      for (Bucket bucket : buckets.values()) {
        bucket.settle(lentMillis, shareBefore);
        bucket.settle(lentMillis, share);
      }
    }
  }
}
