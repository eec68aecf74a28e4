package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.TenantLimit;
import org.lockdale.gateway.limit.Allowance;
import org.lockdale.gateway.limit.LevelKeeper;
import org.lockdale.gateway.limit.LimitBound;
import org.lockdale.gateway.limit.ShareLender;
import org.lockdale.gateway.limit.TenantBuckets;
import org.lockdale.protocol.generated.AdmissionAnswer;
import org.lockdale.protocol.generated.AdmissionQuestion;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;
import org.tinylog.Logger;

/**
 * Decides, for the nodes that lend their shares to this node, whether requests are within their
 * tenants' limits. Runs on one event loop.
 */
public final class LimitResponder implements ShareBorrower {

  private final DatagramExchange datagrams;
  private final Supplier<GatewayConfiguration> configuration;
  private final LimitBound bound;
  private final long incarnation;
  private final Time time;
  private final TenantBuckets buckets;
  private long suspendedMillis;
  private long limitsVersion = GatewayConfiguration.NONE.version();

  /**
   * Creates a responder.
   *
   * @param datagrams sends the answers
   * @param configuration supplies the configuration in force
   * @param bound how far tenants may exceed their limits
   * @param incarnation identifies this run of the node's process
   * @param kept whether the levels of limits are kept in the shared store
   * @param time clock
   */
  public LimitResponder(
      DatagramExchange datagrams,
      Supplier<GatewayConfiguration> configuration,
      LimitBound bound,
      long incarnation,
      boolean kept,
      Time time) {
    this.datagrams = datagrams;
    this.configuration = configuration;
    this.bound = bound;
    this.incarnation = incarnation;
    this.time = time;
    this.suspendedMillis = time.suspendedMillis();
    this.buckets = new TenantBuckets(bound.window().toMillis(), time.monotonicMillis(), kept);
  }

  /**
   * Creates the keeper of the levels that this responder decides by.
   *
   * @param selfId id of this node
   */
  public LevelKeeper keeper(String selfId) {
    return new LevelKeeper(selfId, incarnation, bound.window().toMillis(), buckets);
  }

  /**
   * Applies the limits of the configuration in force; to be called whenever it may have changed.
   */
  public void refresh() {
    GatewayConfiguration inForce = configuration.get();
    if (inForce.version() == limitsVersion) {
      return;
    }
    limitsVersion = inForce.version();
    Map<String, TenantLimit> limits = inForce.tenantLimits();
    Map<String, Allowance> allowances = new HashMap<>();
    limits.forEach((tenant, limit) -> allowances.put(tenant, Allowance.of(limit, bound)));
    buckets.setAllowances(allowances, nowMillis());
    Logger.info("event=limits-in-force version={} tenants={}", limitsVersion, limits.size());
  }

  /** Accepts the loan of a node. */
  @Override
  public void borrow(String node, ShareLoan loan) {
    if (loan.getLife() != incarnation) {
      return;
    }
    long now = nowMillis();
    long until = loan.getSentAt() + ShareLender.TERM_MILLIS;
    if (loan.getReserve()) {
      buckets.reserveLent(node, loan.getShare(), until, now);
    } else {
      buckets.lent(node, loan.getShare(), until, now);
    }
  }

  /** Stops using the share of a node and notifies the node. */
  void onRecall(String node, InetSocketAddress address, ShareRecall recall) {
    if (recall.getLife() == incarnation) {
      release(node, recall);
      datagrams.send(
          address, new ShareReleased(incarnation, recall.getSentAt(), recall.getReserve()));
    }
  }

  /** Stops using the share of a node. */
  @Override
  public void release(String node, ShareRecall recall) {
    long until = recall.getSentAt() + ShareLender.TERM_MILLIS;
    if (recall.getReserve()) {
      buckets.releaseReserve(node, until, nowMillis());
    } else {
      buckets.release(node, until, nowMillis());
    }
  }

  /** Answers the admission query of a node. */
  void answer(InetSocketAddress address, AdmissionQuestion question) {
    OptionalLong retryAfter = take(question.getTenant(), question.getAmount());
    datagrams.send(
        address,
        new AdmissionAnswer(question.getNumber(), retryAfter.isEmpty(), retryAfter.orElse(0)));
  }

  /**
   * Counts a request against the limit of its tenant.
   *
   * @return empty if the request is within the limit, else the time after which to retry, in
   *     milliseconds
   */
  OptionalLong take(String tenant, double amount) {
    // A limit that has just been configured must have its bucket before its first request.
    refresh();
    return buckets.take(tenant, amount, nowMillis());
  }

  /** Returns the sum of the shares that are lent to this node, from 0 to 1. */
  public double share() {
    return buckets.share(nowMillis());
  }

  /**
   * Returns the monotonic time. While the machine is suspended loans expire, but allowances do not
   * grow, so the buckets are adjusted for the suspended time.
   */
  private long nowMillis() {
    long now = time.monotonicMillis();
    long suspended = time.suspendedMillis();
    if (suspended > suspendedMillis) {
      buckets.excludeSuspension(suspended - suspendedMillis);
      suspendedMillis = suspended;
    }
    return now;
  }

  @Override
  public long incarnation() {
    return incarnation;
  }
}
