package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.table.TableFollower;

/**
 * The followers of the tables that a node copies.
 *
 * @param operators table that operators write; API keys are accepted only while its proofs are
 *     recent
 * @param backends table that backends write
 * @param cluster table that the nodes write
 */
record TableFollowers(TableFollower operators, TableFollower backends, TableFollower cluster) {

  /**
   * Polls of the other two tables wait longer by this factor, since no API key depends on their
   * proofs.
   */
  private static final int RELAXED_WAIT_FACTOR = 2;

  /** Backends write their records in bursts, for example during a rollout. */
  private static final Duration BACKEND_BATCH_DELAY = Duration.ofMillis(250);

  /**
   * Time without a proof, beyond the longest wait, after which the store counts as unreachable. A
   * response takes some milliseconds, and the writes of backends are batched before the next call.
   */
  private static final Duration OUTAGE_MARGIN = Duration.ofMillis(500);

  /** Nodes announce themselves in bursts, for example after a restart of all nodes. */
  private static final Duration CLUSTER_BATCH_DELAY = Duration.ofMillis(400);

  static TableFollowers of(
      EventLoop eventLoop,
      TableFollower.Sources sources,
      GatewaySettings settings,
      GatewayProtocols protocols,
      Time time,
      TableFollower.Listener operators,
      TableFollower.Listener backends,
      TableFollower.Listener cluster) {
    TableFollower.Plan operatorPlan =
        new TableFollower.Plan(
            protocols.records().operatorTable(),
            settings.get(GatewaySettings.STORE_WAIT),
            Duration.ZERO);
    TableFollower.Plan backendPlan =
        new TableFollower.Plan(
            protocols.records().backendTable(), relaxedWait(settings), BACKEND_BATCH_DELAY);
    TableFollower.Plan clusterPlan =
        new TableFollower.Plan(
            protocols.clusterTable().table(), relaxedWait(settings), CLUSTER_BATCH_DELAY);
    return new TableFollowers(
        new TableFollower(eventLoop, sources, operatorPlan, time, operators),
        new TableFollower(eventLoop, sources, backendPlan, time, backends),
        new TableFollower(eventLoop, sources, clusterPlan, time, cluster));
  }

  private static Duration relaxedWait(GatewaySettings settings) {
    return settings.get(GatewaySettings.STORE_WAIT).multipliedBy(RELAXED_WAIT_FACTOR);
  }

  /**
   * Returns the time without a proof of the backends' table after which the store counts as
   * unreachable.
   */
  static Duration outageThreshold(GatewaySettings settings) {
    return relaxedWait(settings).plus(OUTAGE_MARGIN);
  }

  /** Returns all followers, that of the operators' table first. */
  List<TableFollower> all() {
    return List.of(operators, backends, cluster);
  }
}
