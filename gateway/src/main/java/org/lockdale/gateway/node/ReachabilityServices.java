package org.lockdale.gateway.node;

import java.util.List;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.reachability.CrossCheckedProber;
import org.lockdale.gateway.reachability.PoolReachability;
import org.lockdale.gateway.reachability.ReachabilityProber;
import org.lockdale.http.HttpClient;

/**
 * The services that detect pools to which this node has lost its links.
 *
 * @param pools detects unreachable pools
 * @param prober probes them
 * @param crashProber tells crashed backends from lost links
 */
record ReachabilityServices(
    PoolReachability pools, ReachabilityProber prober, CrossCheckedProber crashProber) {

  /**
   * Creates the services.
   *
   * @param blackboard shared state of the node
   * @param probes HTTP client that probes backends
   * @param requests HTTP client whose idle connections to unreachable backends are closed, as they
   *     are probably lost
   * @param time clock
   */
  static ReachabilityServices of(
      GatewayBlackboard blackboard, HttpClient probes, HttpClient requests, Time time) {
    PoolReachability pools =
        new PoolReachability(
            pool -> servingBackends(blackboard, pool).size(),
            pool ->
                servingBackends(blackboard, pool)
                    .forEach(tracked -> requests.closeIdleConnections(tracked.backend().address())),
            time);
    return new ReachabilityServices(
        pools,
        new ReachabilityProber(pools, pool -> servingBackends(blackboard, pool), probes::probe),
        new CrossCheckedProber(pools, () -> blackboard.backends().value(), probes::probe));
  }

  private static List<TrackedBackend> servingBackends(GatewayBlackboard blackboard, String pool) {
    return blackboard.backends().value().ofPool(pool).stream()
        .filter(TrackedBackend::isServing)
        .toList();
  }
}
