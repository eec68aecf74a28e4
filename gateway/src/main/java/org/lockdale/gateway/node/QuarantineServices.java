package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.Supplier;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.SuspectListClient;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.quarantine.QuarantineContext;
import org.lockdale.http.HttpClient;

/**
 * The services that keep requests from crashing one backend after the other.
 *
 * @param quarantine determines which requests are quarantined
 * @param suspectList reads the suspects of other nodes when this node starts
 */
record QuarantineServices(Quarantine quarantine, SuspectListClient suspectList) {

  /**
   * Creates the services.
   *
   * @param eventLoop event loop that runs them
   * @param settings settings of the node
   * @param blackboard shared state of the node
   * @param context dependencies of the quarantine
   * @param client HTTP client for calls to other nodes
   * @param peers supplies the other nodes
   */
  static QuarantineServices of(
      EventLoop eventLoop,
      GatewaySettings settings,
      GatewayBlackboard blackboard,
      QuarantineContext context,
      HttpClient client,
      Supplier<List<PeerNode>> peers) {
    Quarantine quarantine =
        new Quarantine(
            context,
            blackboard.suspects(),
            blackboard.suspectParts(),
            QuarantineSettings.times(settings));
    return new QuarantineServices(
        quarantine, new SuspectListClient(eventLoop, client, peers, quarantine::receive));
  }

  /** Starts the services. */
  void start() {
    quarantine.start();
    suspectList.start();
  }
}
