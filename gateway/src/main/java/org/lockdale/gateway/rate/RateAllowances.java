package org.lockdale.gateway.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lockdale.gateway.limit.BorrowedShares;

/**
 * Number of requests that this node may send to backends that advertise a rate limit. Nodes lend
 * their shares of all rates to the node that places their requests; a share counts at one node at a
 * time, so all nodes together keep to each rate, however many of them place requests. A bucket
 * starts empty, since other nodes may have used up the rate. Performs no I/O; the time is passed
 * in. Not thread-safe.
 */
public final class RateAllowances {

  private static final double ONE_REQUEST = 1;

  /** Rounding error of sums of small gains. */
  private static final double ROUNDING = 1e-6;

  private static final class Bucket {
    private RateBound bound;
    private double level;

    /** Integral of the borrowed shares up to which the level is computed. */
    private double shareMillis;

    Bucket(RateBound bound, double shareMillis) {
      this.bound = bound;
      this.shareMillis = shareMillis;
    }

    void settle(double shareMillisNow, double share) {
      level = Math.min(level + bound.gain(shareMillisNow - shareMillis), bound.capacity(share));
      shareMillis = shareMillisNow;
    }
  }

  private final BorrowedShares shares;
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Creates the allowances of a node that has borrowed no shares. */
  public RateAllowances(long nowMillis) {
    this.shares = new BorrowedShares(nowMillis, this::settleAfterShareChange);
  }

  /** Sets the rate that a backend advertises, in requests per second. */
  public void setRate(String backend, double perSecond, long nowMillis) {
    shares.update(nowMillis);
    RateBound bound = new RateBound(perSecond);
    Bucket bucket = buckets.computeIfAbsent(backend, id -> new Bucket(bound, shares.shareMillis()));
    bucket.settle(shares.shareMillis(), shares.share());
    bucket.bound = bound;
    bucket.settle(shares.shareMillis(), shares.share());
  }

  /** Removes the rate of a backend that no longer advertises one. */
  public void removeRate(String backend) {
    buckets.remove(backend);
  }

  /**
   * Removes the allowances of all backends but some.
   *
   * @param backends backends whose allowances remain
   */
  public void retain(Set<String> backends) {
    buckets.keySet().retainAll(backends);
  }

  /** Returns whether a request may be sent to a backend now. */
  public boolean hasRoom(String backend, long nowMillis) {
    Bucket bucket = buckets.get(backend);
    if (bucket == null) {
      return true;
    }
    shares.update(nowMillis);
    bucket.settle(shares.shareMillis(), shares.share());
    return bucket.level >= ONE_REQUEST - ROUNDING;
  }

  /**
   * Deducts a request to a backend, if one may be sent now.
   *
   * @return whether it may be sent
   */
  public boolean tryTake(String backend, long nowMillis) {
    if (!hasRoom(backend, nowMillis)) {
      return false;
    }
    Bucket bucket = buckets.get(backend);
    if (bucket != null) {
      bucket.level -= ONE_REQUEST;
    }
    return true;
  }

  /**
   * Returns the time after which a request may be sent to a backend if the borrowed shares do not
   * change, in milliseconds; positive infinity if they are too small for any request.
   */
  public double waitMillis(String backend, long nowMillis) {
    if (hasRoom(backend, nowMillis)) {
      return 0;
    }
    Bucket bucket = buckets.get(backend);
    double share = shares.share();
    return bucket.bound.capacity(share) < ONE_REQUEST - ROUNDING
        ? Double.POSITIVE_INFINITY
        : (ONE_REQUEST - bucket.level) / bucket.bound.gain(share);
  }

  /**
   * Returns the number of requests per second that this node may send to a backend; positive
   * infinity if the backend has no rate.
   */
  public double perSecond(String backend) {
    Bucket bucket = buckets.get(backend);
    return bucket == null ? Double.POSITIVE_INFINITY : bucket.bound.perSecond() * shares.share();
  }

  /**
   * Returns the number of requests that this node may have arrive at a backend in one window;
   * positive infinity if the backend has no rate.
   */
  public double perWindow(String backend, long nowMillis) {
    shares.update(nowMillis);
    Bucket bucket = buckets.get(backend);
    return bucket == null ? Double.POSITIVE_INFINITY : bucket.bound.perWindow(shares.share());
  }

  /** Records that a node lends its share until a time, in place of its earlier loan. */
  public void lent(String node, double share, long untilMillis, long nowMillis) {
    shares.lent(node, share, untilMillis, nowMillis);
  }

  /** Releases the share of a node. A loan that ends no later and arrives after this is ignored. */
  public void release(String node, long untilMillis, long nowMillis) {
    shares.release(node, untilMillis, nowMillis);
  }

  /** Returns the sum of the borrowed shares, from 0 to 1. */
  public double share(long nowMillis) {
    shares.update(nowMillis);
    return shares.share();
  }

  /** Returns whether a node has lent its share. */
  public boolean isLentBy(String node, long nowMillis) {
    shares.update(nowMillis);
    return shares.isLentBy(node);
  }

  /**
   * Updates all levels after a change of the sum of the shares.
   *
   * @param shareBefore sum of the shares before the change
   */
  private void settleAfterShareChange(double shareBefore) {
    for (Bucket bucket : buckets.values()) {
      bucket.settle(shares.shareMillis(), shareBefore);
      bucket.settle(shares.shareMillis(), shares.share());
    }
  }
}
