package org.lockdale.gateway.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import org.lockdale.gateway.configuration.TenantLimit;

/** A simulated tenant: its demand, what a single bucket would admit, and what was sent. */
final class TenantTraffic {

  private record Sent(long atMillis, double amount) {}

  final String tenant;
  final TenantLimit limit;
  final Predicate<LimitSimulationNode> receives;
  private final List<Sent> sent = new ArrayList<>();
  private TenantLimit currentLimit;
  private double level;
  private long levelAtMillis;
  double expected;
  double admitted;

  TenantTraffic(String tenant, TenantLimit limit, Predicate<LimitSimulationNode> receives) {
    this.tenant = tenant;
    this.limit = limit;
    this.currentLimit = limit;
    this.receives = receives;
    this.level = limit.burst();
  }

  /**
   * Records a request for the tenant. A reference bucket with the full limit determines whether it
   * should be admitted.
   */
  void recordDemand(double amount, long nowMillis) {
    level += (nowMillis - levelAtMillis) * currentLimit.ratePerSecond() / 1_000;
    level = Math.min(level, currentLimit.burst());
    levelAtMillis = nowMillis;
    if (level >= amount) {
      level -= amount;
      expected += amount;
    }
  }

  /** Records a request that was sent. */
  void recordSent(long nowMillis, double amount) {
    sent.add(new Sent(nowMillis, amount));
  }

  /** Changes the limit of the tenant. */
  void setLimit(TenantLimit newer) {
    currentLimit = newer;
  }

  TenantLimit currentLimit() {
    return currentLimit;
  }

  double admittedFraction() {
    return expected == 0 ? 1 : admitted / expected;
  }

  /** Returns the maximum amount that was sent in any window that starts at a time or later. */
  double maxInWindow(long fromMillis) {
    double sum = 0;
    double max = 0;
    Deque<Sent> window = new ArrayDeque<>();
    for (Sent each : sent) {
      if (each.atMillis() < fromMillis) {
        continue;
      }
      window.add(each);
      sum += each.amount();
      while (window.peek().atMillis() <= each.atMillis() - LimitSimulation.WINDOW_MILLIS) {
        sum -= window.poll().amount();
      }
      max = Math.max(max, sum);
    }
    return max;
  }

  double bound() {
    double window =
        currentLimit.ratePerSecond() * LimitSimulation.WINDOW_MILLIS / 1_000 + currentLimit.burst();
    return window * (1 + LimitSimulation.BOUND.overshoot()) + LimitSimulation.BOUND.slack();
  }
}
