package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.request.PeerConfigurations;
import org.lockdale.gateway.table.TableFollower;
import org.tinylog.Logger;

/**
 * Reads the operators' table from a node that has handled a forwarded request by a newer
 * configuration. Callers have seen that configuration in the response of this node, which must not
 * handle their next requests by the older one.
 */
final class NewerConfigurations implements PeerConfigurations {

  private final EventLoop eventLoop;
  private final Section<GatewayConfiguration> inForce;
  private final TableFollower operators;

  /**
   * Creates an instance.
   *
   * @param eventLoop event loop of the follower
   * @param inForce configuration of this node
   * @param operators copy of the operators' table
   */
  NewerConfigurations(
      EventLoop eventLoop, Section<GatewayConfiguration> inForce, TableFollower operators) {
    this.eventLoop = eventLoop;
    this.inForce = inForce;
    this.operators = operators;
  }

  @Override
  public void observe(PeerNode peer, long version) {
    if (isNewer(version)) {
      eventLoop.execute(() -> readUnlessKnown(peer, version));
    }
  }

  private boolean isNewer(long version) {
    return version > inForce.value().version();
  }

  private void readUnlessKnown(PeerNode peer, long version) {
    if (isNewer(version)) {
      Logger.info(
          "event=newer-configuration-seen version={} own={} node={}",
          version,
          inForce.value().version(),
          peer.id());
      operators.readLacking(peer.address());
    }
  }
}
