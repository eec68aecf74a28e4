package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cluster.PeerBroadcaster;
import org.lockdale.gateway.drain.BackendAnnouncements;
import org.lockdale.gateway.drain.DrainingBackends;
import org.lockdale.gateway.life.IncarnationMonitor;
import org.lockdale.gateway.weights.EngineControl;

/**
 * The services that track the incarnations of backends by their responses and by the messages of
 * other nodes.
 *
 * @param monitor detects incarnations that have ended
 * @param announcements processes announcements that a backend is draining or requests a backoff
 * @param draining remembers incarnations that are draining
 */
record IncarnationServices(
    IncarnationMonitor monitor, BackendAnnouncements announcements, DrainingBackends draining) {

  /**
   * Creates the services.
   *
   * @param eventLoop event loop that runs the services
   * @param engines reads the state of engines
   * @param blackboard shared state of the node
   * @param broadcaster notifies other nodes
   * @param time clock
   */
  static IncarnationServices of(
      EventLoop eventLoop,
      EngineControl engines,
      GatewayBlackboard blackboard,
      PeerBroadcaster broadcaster,
      Time time) {
    DrainingBackends drainingBackends =
        new DrainingBackends(
            () -> blackboard.backends().value(), broadcaster::broadcastDraining, time);
    return new IncarnationServices(
        new IncarnationMonitor(
            eventLoop,
            engines,
            () -> blackboard.backends().value(),
            broadcaster::broadcastIncarnationEnd,
            time),
        new BackendAnnouncements(drainingBackends, time),
        drainingBackends);
  }
}
