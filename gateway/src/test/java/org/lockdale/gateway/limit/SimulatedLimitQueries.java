package org.lockdale.gateway.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The requests that a node of {@link LimitSimulation} receives, and its queries to the relay that
 * decides on them.
 */
final class SimulatedLimitQueries {

  private static final long RESPONSE_TIMEOUT_MILLIS = 40;
  private static final int MAX_TRIES = 4;

  /** Wait of a request whose route has a latency objective of 507 ms, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 169;

  private static final long WAIT_INTERVAL_MILLIS = 50;
  private static final int MAX_UNANSWERED_QUERIES = 3;
  private static final int REQUESTS_PER_NOT_RUN = 10;
  private static final long NOT_RUN_MILLIS = 30;

  private record LimitQuery(String tenant, double amount, long sentAt, int tries, long waitUntil) {}

  private final LimitSimulation simulation;
  private final LimitSimulationNode node;
  private ReturnedAmounts returned;
  private Map<Long, LimitQuery> open;
  private long lastNumber;
  private int unansweredQueries;

  SimulatedLimitQueries(LimitSimulation simulation, LimitSimulationNode node) {
    this.simulation = simulation;
    this.node = node;
  }

  /** Forgets the queries and the returned amounts of the former incarnation. */
  void start() {
    returned = new ReturnedAmounts();
    open = new HashMap<>();
  }

  void onRequest(TenantTraffic traffic, double amount) {
    long usedFrom = node.clock();
    var available = returned.take(traffic.tenant, amount, usedFrom);
    if (available.isPresent()) {
      granted(traffic, available.get());
    } else {
      query(traffic, amount, 1, simulation.now() + MAX_WAIT_MILLIS);
    }
  }

  /** Decides on a refused request again while no relay has most of the shares. */
  private void waitForShares(TenantTraffic traffic, double amount, long waitUntil) {
    double share = node.shareOf(node.limitRelays().get(0));
    if (simulation.kept && simulation.now() + WAIT_INTERVAL_MILLIS <= waitUntil && share <= 0.5) {
      node.afterWhenAwake(WAIT_INTERVAL_MILLIS, () -> query(traffic, amount, 1, waitUntil));
    }
  }

  private void query(TenantTraffic traffic, double amount, int tries, long waitUntil) {
    LimitSimulationNode limitRelay = simulation.node(node.limitRelays().get(0));
    if (limitRelay == node) {
      decide(traffic, amount, waitUntil);
      return;
    }
    long number = ++lastNumber;
    open.put(number, new LimitQuery(traffic.tenant, amount, node.clock(), tries, waitUntil));
    simulation.send(
        node,
        limitRelay,
        () -> {
          OptionalLong wait = limitRelay.buckets().take(traffic.tenant, amount, limitRelay.clock());
          simulation.send(limitRelay, node, () -> onResponse(traffic, number, wait.isEmpty()));
        });
    node.afterWhenAwake(RESPONSE_TIMEOUT_MILLIS, () -> onTimeout(traffic, number, limitRelay));
  }

  private void decide(TenantTraffic traffic, double amount, long waitUntil) {
    long requestedAt = node.clock();
    if (node.buckets().take(traffic.tenant, amount, requestedAt).isEmpty()) {
      granted(traffic, grant(traffic, amount, requestedAt));
    } else {
      waitForShares(traffic, amount, waitUntil);
    }
  }

  private void onResponse(TenantTraffic traffic, long number, boolean admitted) {
    LimitQuery query = open.remove(number);
    if (query != null) {
      unansweredQueries = 0;
      if (admitted) {
        granted(traffic, grant(traffic, query.amount(), query.sentAt()));
      } else {
        waitForShares(traffic, query.amount(), query.waitUntil());
      }
    }
  }

  private void onTimeout(TenantTraffic traffic, long number, LimitSimulationNode silent) {
    LimitQuery query = open.remove(number);
    if (query == null) {
      return;
    }
    if (++unansweredQueries >= MAX_UNANSWERED_QUERIES) {
      unansweredQueries = 0;
      node.election().markUnresponsive(silent.id, node.clock());
      node.loans().lend();
    }
    if (query.tries() < MAX_TRIES) {
      query(traffic, query.amount(), query.tries() + 1, query.waitUntil());
    }
  }

  private static Admission.Granted grant(TenantTraffic traffic, double amount, long requestedAt) {
    long returnMillis = Allowance.of(traffic.currentLimit(), LimitSimulation.BOUND).returnMillis();
    return new Admission.Granted(traffic.tenant, amount, requestedAt + returnMillis);
  }

  private void granted(TenantTraffic traffic, Admission.Granted granted) {
    if (simulation.random.nextInt(REQUESTS_PER_NOT_RUN) > 0) {
      traffic.recordSent(simulation.now(), granted.amount());
      traffic.admitted += granted.amount();
      return;
    }
    // No server runs the request, so the amount that it consumed is available again.
    traffic.admitted += granted.amount();
    node.afterWhenAwake(NOT_RUN_MILLIS, () -> returned.add(granted, node.clock()));
  }
}
