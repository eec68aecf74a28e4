package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.util.function.Function;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.capacity.EngineCapacityTable;
import org.lockdale.gateway.capacity.EngineEstimates;
import org.lockdale.gateway.capacity.EngineObservations;
import org.lockdale.gateway.capacity.EngineServices;
import org.lockdale.gateway.cluster.CapacityExchange;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.RelayController;

/**
 * The services that estimate the capacity of engines.
 *
 * @param enabled whether any setting needs the estimates
 * @param table the estimates
 * @param exchange exchanges observations and estimates with other nodes
 * @param engines what requests and placement use
 */
record CapacityServices(
    boolean enabled, EngineCapacityTable table, CapacityExchange exchange, EngineServices engines) {

  /**
   * Creates the services; {@link #start} starts them.
   *
   * @param eventLoop event loop that runs them
   * @param settings settings of the node
   * @param blackboard shared state of the node
   * @param datagrams sends messages to other nodes
   * @param relays knows the relays and the nodes of the deployment
   * @param workAt returns the work that all nodes have at an engine; called only after the start
   * @param time clock
   */
  static CapacityServices of(
      EventLoop eventLoop,
      GatewaySettings settings,
      GatewayBlackboard blackboard,
      DatagramExchange datagrams,
      RelayController relays,
      Function<TrackedBackend, BackendWork> workAt,
      Time time) {
    boolean detectsSilence = settings.isOn(GatewaySettings.ENGINE_SILENCE);
    boolean enabled =
        detectsSilence
            || settings.isOn(GatewaySettings.ADMISSION_QUEUE)
            || settings.isOn(GatewaySettings.PLACEMENT_BY_TIME);
    EngineObservations observations = new EngineObservations(enabled, time);
    EngineEstimates estimates =
        new EngineEstimates(
            detectsSilence,
            workAt,
            engine -> blackboard.rollout().value().isMoving(engine, time.monotonicMillis()));
    CapacityExchange exchange =
        new CapacityExchange(
            new CapacityExchange.Context(
                relays.nodes().self().id(),
                eventLoop,
                datagrams,
                () -> blackboard.backends().value(),
                relays::relays,
                () -> relays.nodes().peers().stream().map(PeerNode::address).toList(),
                relays::isServing,
                () -> relays.coordinator().isPresent(),
                time),
            observations,
            estimates);
    EngineCapacityTable table = estimates.table();
    return new CapacityServices(
        enabled, table, exchange, new EngineServices(table, table, observations));
  }

  /** Starts the services, unless no setting needs them. */
  void start() {
    if (enabled) {
      exchange.start();
    }
  }
}
