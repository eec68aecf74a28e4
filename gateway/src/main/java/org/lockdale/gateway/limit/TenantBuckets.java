package org.lockdale.gateway.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Token buckets of all tenants with a limit, at a limit relay, the relay node that decides on
 * limits for the other nodes. Nodes lend it their shares of the limits. A bucket gains and holds no
 * more than the borrowed shares allow, so that all limit relays together keep to the limits, even
 * if there are several at a time. Buckets start empty, so that a restart gains nothing. They never
 * go below zero, since a successor would not know a relay's debt. Nodes also lend their shares of a
 * reserve, which may be used once per window when the level of a bucket is too low. If levels are
 * kept, half of the capacity belongs to whoever wrote the row of stored levels last, so that a
 * restart of all nodes does not lose it; buckets hold the other half. Performs no I/O; the time is
 * passed in. Not thread-safe.
 */
public final class TenantBuckets {

  /** Maximum retry time of refused requests; a limit may be raised meanwhile. */
  static final long MAX_RETRY_MILLIS = 5_000;

  /** Minimum retry time of refused requests. */
  static final long MIN_RETRY_MILLIS = 50;

  /**
   * Minimum retry time of refused requests while most shares are missing: a third of the term of a
   * loan.
   */
  static final long RETRY_WITHOUT_SHARES_MILLIS = 300;

  private static final double MAJORITY = 0.5;

  /**
   * Time for which smaller requests are refused in favour of a larger one that was refused; at the
   * limit, they would otherwise always be granted before it.
   */
  private static final long PENDING_MILLIS = 1_000;

  /**
   * Fraction of the capacity that belongs to the owner of the row, if levels are kept. Buckets and
   * the row together never hold more than the capacity, whoever holds shares.
   */
  private static final double KEPT_FRACTION = 0.5;

  /**
   * Fraction of the capacity that the owner of the row has for use, so that together with its
   * bucket it holds three quarters of the capacity; the rest survives its loss.
   */
  private static final double ADVANCE_FRACTION = 0.125;

  private static final class Bucket {
    final KeptAmount kept = new KeptAmount();
    Allowance allowance;
    double level;

    /** Integral of the borrowed shares up to which the level is computed. */
    double shareMillis;

    double reserveUsed;
    long reserveUsedAtMillis;

    /** Largest amount that was refused recently. */
    private double pendingAmount;

    private long pendingUntilMillis;

    Bucket(Allowance allowance, double shareMillis) {
      this.allowance = allowance;
      this.shareMillis = shareMillis;
    }

    /**
     * Returns the level that the bucket has to reach before smaller requests are granted; 0 if no
     * larger one is pending.
     */
    double pendingAmount(long nowMillis) {
      return nowMillis < pendingUntilMillis ? pendingAmount : 0;
    }

    void setPending(double amount, long nowMillis) {
      if (amount > pendingAmount(nowMillis)) {
        pendingAmount = amount;
        pendingUntilMillis = nowMillis + PENDING_MILLIS;
      }
    }
  }

  private final BorrowedShares shares;
  private final ShareLoans reserves = new ShareLoans();
  private final Map<String, Bucket> buckets = new HashMap<>();

  /** Time after which a reserve may be used again, or at another node, in milliseconds. */
  private final long reserveReuseMillis;

  /** Fraction of the capacity that buckets hold. */
  private final double bucketFraction;

  /** Whether this process wrote the row of stored levels, so that surplus gains are kept. */
  private boolean ownsRow;

  private long keptUsableUntilMillis = Long.MIN_VALUE;
  private long keptGainsFromMillis = Long.MAX_VALUE;
  private long usedAtMillis = Long.MIN_VALUE;

  /**
   * Creates buckets without any tenant whose levels are not kept.
   *
   * @param windowMillis window in which requests are counted, in milliseconds
   * @param nowMillis monotonic time
   */
  public TenantBuckets(long windowMillis, long nowMillis) {
    this(windowMillis, nowMillis, false);
  }

  /**
   * Creates buckets without any tenant.
   *
   * @param windowMillis window in which requests are counted, in milliseconds
   * @param nowMillis monotonic time
   * @param kept whether a part of the capacity belongs to the owner of the row of stored levels;
   *     the same at all nodes
   */
  public TenantBuckets(long windowMillis, long nowMillis, boolean kept) {
    this.bucketFraction = kept ? 1 - KEPT_FRACTION : 1;
    this.reserveReuseMillis = windowMillis + Allowance.MAX_RETURN_MILLIS;
    this.shares = new BorrowedShares(nowMillis, this::settleAfterShareChange);
  }

  /**
   * Sets the allowances of all tenants with limits, by tenant name. A bucket whose limit was
   * lowered loses the surplus.
   */
  public void setAllowances(Map<String, Allowance> allowances, long nowMillis) {
    shares.update(nowMillis);
    settleAll();
    buckets.keySet().retainAll(allowances.keySet());
    allowances.forEach(
        (tenant, allowance) ->
            buckets.computeIfAbsent(tenant, name -> new Bucket(allowance, shares.shareMillis()))
                    .allowance =
                allowance);
    settleAll();
    buckets.values().forEach(bucket -> bucket.kept.limitTo(maxKept(bucket)));
  }

  /**
   * Records that a node lends its share, in place of its earlier loan.
   *
   * @param node id of the node
   * @param share share of each limit, from 0 to 1
   * @param untilMillis monotonic time at which the loan ends
   * @param nowMillis monotonic time
   */
  public void lent(String node, double share, long untilMillis, long nowMillis) {
    shares.lent(node, share, untilMillis, nowMillis);
  }

  /** Releases the share of a node. A loan that ends no later and arrives after this is ignored. */
  public void release(String node, long untilMillis, long nowMillis) {
    shares.release(node, untilMillis, nowMillis);
  }

  /** Records that a node lends its share of the reserves, as {@link #lent} does for limits. */
  public void reserveLent(String node, double part, long untilMillis, long nowMillis) {
    reserves.end(nowMillis);
    reserves.lent(node, part, untilMillis, nowMillis);
  }

  /** Releases the share of a node of the reserves, as {@link #release} does for limits. */
  public void releaseReserve(String node, long untilMillis, long nowMillis) {
    reserves.end(nowMillis);
    reserves.release(node, untilMillis);
  }

  /**
   * Deducts a request from its tenant's bucket if it is within the limit. A tenant without a bucket
   * has no limit.
   *
   * @param tenant name of the tenant
   * @param amount amount that the request consumes
   * @param nowMillis monotonic time
   * @return empty if the request is within the limit, else the time after which it may fit, in
   *     milliseconds
   */
  public OptionalLong take(String tenant, double amount, long nowMillis) {
    shares.update(nowMillis);
    Bucket bucket = buckets.get(tenant);
    if (bucket == null) {
      // The configuration of this node has no limit for the tenant yet, or no longer.
      return OptionalLong.empty();
    }
    settle(bucket, shares.share());
    usedAtMillis = nowMillis;
    double needed = Math.max(amount, bucket.pendingAmount(nowMillis));
    if (needed <= available(bucket, nowMillis)) {
      use(bucket, amount);
      return OptionalLong.empty();
    }
    if (takeReserve(bucket, amount, nowMillis)) {
      return OptionalLong.empty();
    }
    bucket.setPending(needed, nowMillis);
    return OptionalLong.of(retryAfter(bucket, needed, nowMillis));
  }

  /** Returns the amount of a tenant with a limit that may be used now, without the reserve. */
  double available(String tenant, long nowMillis) {
    shares.update(nowMillis);
    Bucket bucket = buckets.get(tenant);
    settle(bucket, shares.share());
    return available(bucket, nowMillis);
  }

  private double available(Bucket bucket, long nowMillis) {
    return bucket.level + (nowMillis < keptUsableUntilMillis ? bucket.kept.advance() : 0);
  }

  /** Deducts an amount that is available, from the bucket's own level first. */
  private static void use(Bucket bucket, double amount) {
    double fromLevel = Math.min(bucket.level, amount);
    bucket.level -= fromLevel;
    bucket.kept.use(amount - fromLevel);
  }

  /**
   * Deducts a request from the reserve if it is large enough. A share of the reserve is used only
   * once it cannot have been used elsewhere in the same window.
   */
  private boolean takeReserve(Bucket bucket, double amount, long nowMillis) {
    reserves.end(nowMillis);
    if (nowMillis - bucket.reserveUsedAtMillis >= reserveReuseMillis) {
      bucket.reserveUsed = 0;
    }
    double reserveShare = reserves.shareSince(nowMillis - reserveReuseMillis);
    double unused = bucket.allowance.reserve() * reserveShare - bucket.reserveUsed;
    double fromReserve = Math.min(unused, amount);
    if (fromReserve <= 0 || amount - fromReserve > available(bucket, nowMillis)) {
      return false;
    }
    use(bucket, amount - fromReserve);
    bucket.reserveUsed += fromReserve;
    bucket.reserveUsedAtMillis = nowMillis;
    return true;
  }

  private long retryAfter(Bucket bucket, double needed, long nowMillis) {
    // Assumes all shares to be present: those missing now have mostly returned before the request
    // does.
    double missing = needed - available(bucket, nowMillis);
    double wait = Math.ceil(missing / bucket.allowance.ratePerMilli());
    long minMillis = shares.share() < MAJORITY ? RETRY_WITHOUT_SHARES_MILLIS : MIN_RETRY_MILLIS;
    return (long) Math.max(minMillis, Math.min(MAX_RETRY_MILLIS, wait));
  }

  /**
   * Excludes the time of a suspension of the machine from the gain of the buckets: other nodes
   * decided on requests meanwhile, and a clock that was set ahead cannot be distinguished from a
   * suspension.
   *
   * @param millis duration of the suspension, in milliseconds
   */
  public void excludeSuspension(long millis) {
    shares.excludeSuspension(millis);
  }

  /** Returns the sum of the borrowed shares, from 0 to 1. */
  public double share(long nowMillis) {
    shares.update(nowMillis);
    return shares.share();
  }

  /**
   * Updates all levels after a change of the sum of the shares.
   *
   * @param shareBefore sum of the shares before the change
   */
  private void settleAfterShareChange(double shareBefore) {
    buckets.values().forEach(bucket -> settle(bucket, shareBefore));
    settleAll();
  }

  private void settleAll() {
    buckets.values().forEach(bucket -> settle(bucket, shares.share()));
  }

  private void settle(Bucket bucket, double share) {
    double gained = (shares.shareMillis() - bucket.shareMillis) * bucket.allowance.ratePerMilli();
    bucket.shareMillis = shares.shareMillis();
    double full = bucket.level + gained;
    bucket.level = Math.min(full, bucket.allowance.capacity() * bucketFraction * share);
    boolean gains =
        ownsRow
            && shares.updatedAtMillis() >= keptGainsFromMillis
            && shares.updatedAtMillis() < keptUsableUntilMillis;
    if (gains) {
      bucket.kept.gain(Math.min(gained, full - bucket.level), maxKept(bucket));
    }
  }

  private static double maxKept(Bucket bucket) {
    return bucket.allowance.capacity() * KEPT_FRACTION;
  }

  /** Returns whether a request was counted at a time or later. */
  boolean wasUsedSince(long sinceMillis) {
    return usedAtMillis >= sinceMillis;
  }

  /**
   * Begins to replace the row of stored levels, and returns the levels that it is to hold, by
   * tenant. What the row gains can no longer be used.
   */
  Map<String, Double> beginWrite(long nowMillis) {
    shares.update(nowMillis);
    settleAll();
    Map<String, Double> levels = new HashMap<>();
    buckets.forEach(
        (tenant, bucket) -> {
          double missing = bucket.pendingAmount(nowMillis) - bucket.level;
          double wanted = Math.max(bucket.allowance.capacity() * ADVANCE_FRACTION, missing);
          levels.put(tenant, bucket.kept.beginWrite(wanted));
        });
    return levels;
  }

  /** Ends a write that has replaced the row. */
  void written() {
    buckets.values().forEach(bucket -> bucket.kept.written());
  }

  /** Ends a write that had no effect and never will. */
  void notWritten() {
    buckets.values().forEach(bucket -> bucket.kept.notWritten());
  }

  /** Sets the stored levels to those of this process's row, after a write without an answer. */
  void readBack(Map<String, Double> levels) {
    buckets.forEach((tenant, bucket) -> bucket.kept.readBack(levels.getOrDefault(tenant, 0.0)));
  }

  /** Records that the row belongs to another process; what was gained is no longer kept. */
  void superseded() {
    ownsRow = false;
    buckets.values().forEach(bucket -> bucket.kept.superseded());
  }

  /**
   * Records that this process has claimed the row.
   *
   * @param levels levels of the row that was replaced, by tenant
   * @param usableUntilMillis monotonic time until which the levels may be used
   * @param gainsFromMillis monotonic time from which surplus gains are kept
   */
  void claimed(Map<String, Double> levels, long usableUntilMillis, long gainsFromMillis) {
    ownsRow = true;
    keptUsableUntilMillis = usableUntilMillis;
    keptGainsFromMillis = gainsFromMillis;
    buckets.forEach(
        (tenant, bucket) ->
            bucket.kept.claimed(Math.min(levels.getOrDefault(tenant, 0.0), maxKept(bucket))));
  }

  /** Extends the time until which the levels of the row's owner may be used. */
  void extendKept(long usableUntilMillis) {
    keptUsableUntilMillis = Math.max(keptUsableUntilMillis, usableUntilMillis);
  }
}
