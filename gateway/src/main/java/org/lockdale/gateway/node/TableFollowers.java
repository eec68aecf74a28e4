package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.request.PeerConfigurations;
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
  private static final int RELAXED_WAIT_FACTOR = 3;

  /** Backends write their records in bursts, for example during a rollout. */
  private static final Duration BACKEND_BATCH_DELAY = Duration.ofMillis(250);

  /**
   * Time without a proof, beyond the longest wait, after which the store counts as unreachable. A
   * response takes some milliseconds, and the writes of backends are batched before the next call.
   */
  private static final Duration OUTAGE_MARGIN = Duration.ofMillis(500);

  /** Nodes announce themselves in bursts, for example after a restart of all nodes. */
  private static final Duration CLUSTER_BATCH_DELAY = Duration.ofMillis(400);

  /**
   * Allows for the time from a relay's reading until the next but one heartbeat, beyond the wait of
   * the reading.
   */
  private static final Duration RELAY_PROOF_MARGIN = Duration.ofMillis(900);

  /**
   * Allows for the age that a proof reaches until the next heartbeat, and for one lost heartbeat.
   */
  static final Duration PROOF_MARGIN = Duration.ofMillis(1_000);

  private static final int STAGGER_MILLIS = 100;

  /** Tables that are read directly only together with that of the operators. */
  private static final Duration NEVER_ALONE = Duration.ofDays(1);

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
            Duration.ZERO,
            maxRelayProofAge(settings));
    TableFollower.Plan backendPlan =
        new TableFollower.Plan(
            protocols.records().backendTable(),
            relaxedWait(settings),
            BACKEND_BATCH_DELAY,
            NEVER_ALONE);
    TableFollower.Plan clusterPlan =
        new TableFollower.Plan(
            protocols.clusterTable().table(),
            relaxedWait(settings),
            CLUSTER_BATCH_DELAY,
            NEVER_ALONE);
    TableFollowers followers =
        new TableFollowers(
            new TableFollower(eventLoop, sources, operatorPlan, time, operators),
            new TableFollower(eventLoop, sources, backendPlan, time, backends),
            new TableFollower(eventLoop, sources, clusterPlan, time, cluster));
    followers.operators().setCompanions(List.of(followers.backends(), followers.cluster()));
    return followers;
  }

  /** Differs between nodes, so that they do not all read the store at the same moment. */
  private static Duration maxRelayProofAge(GatewaySettings settings) {
    int stagger = Math.floorMod(settings.get(GatewaySettings.NODE_ID).hashCode(), STAGGER_MILLIS);
    return settings.get(GatewaySettings.STORE_WAIT).plus(RELAY_PROOF_MARGIN).plusMillis(stagger);
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

  /** Returns the age that the copy of the backends' table reaches while nothing is wrong. */
  static Duration maxBackendsAge(GatewaySettings settings) {
    return outageThreshold(settings).plus(PROOF_MARGIN);
  }

  /**
   * Returns what reads the operators' table from nodes that have a newer configuration.
   *
   * @param eventLoop event loop of the followers
   * @param configuration configuration of this node
   */
  PeerConfigurations peerConfigurations(
      EventLoop eventLoop, Section<GatewayConfiguration> configuration) {
    return new PeerConfigurations(
        configuration,
        peer -> eventLoop.execute(() -> operators.readMissingChanges(peer.address())));
  }

  /** Returns all followers, that of the operators' table first. */
  List<TableFollower> all() {
    return List.of(operators, backends, cluster);
  }
}
