package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmissionMetrics;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cache.CacheDirectory;
import org.lockdale.gateway.cache.CachePlanner;
import org.lockdale.gateway.capacity.EngineCapacities;
import org.lockdale.gateway.cluster.AdmissionServices;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.NodeReporter;
import org.lockdale.gateway.cluster.PeerLoads;
import org.lockdale.gateway.cluster.PlacementClient;
import org.lockdale.gateway.cluster.PlacementResponder;
import org.lockdale.gateway.cluster.RelayController;
import org.lockdale.gateway.cluster.TicketClient;
import org.lockdale.gateway.cluster.TicketExchange;
import org.lockdale.gateway.cluster.TicketResponder;
import org.lockdale.gateway.placement.BackendChooser;
import org.lockdale.gateway.placement.BackendSelector;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementService;
import org.lockdale.gateway.placement.TimeSelector;
import org.lockdale.gateway.weights.WeightsPolicy;

/**
 * The services that place requests.
 *
 * @param loads work that other nodes have at the backends
 * @param reporter reports the work of this node to the relays
 * @param decider decides where a request is served
 * @param client has a relay decide where a request of this node is served
 * @param capacities estimates of engines
 * @param admission queue of this node; null if requests do not wait for room
 * @param tickets has a relay place requests that may wait; null if none wait
 */
record PlacementServices(
    PeerLoads loads,
    NodeReporter reporter,
    PlacementDecider decider,
    PlacementClient client,
    CapacityServices capacities,
    @Nullable AdmissionServices admission,
    @Nullable TicketClient tickets) {

  /**
   * Creates the services.
   *
   * @param eventLoop event loop that runs them
   * @param settings settings of the node
   * @param blackboard shared state of the node
   * @param datagrams sends messages to the relays
   * @param relays knows the relays
   * @param limits limits of the requests to backends
   * @param caches prompts that the engines and stores hold
   * @param time clock
   */
  static PlacementServices of(
      EventLoop eventLoop,
      GatewaySettings settings,
      GatewayBlackboard blackboard,
      DatagramExchange datagrams,
      RelayController relays,
      LimitServices limits,
      CacheDirectory caches,
      Time time) {
    PeerLoads loads = new PeerLoads(time);
    NodeReporter reporter =
        new NodeReporter(
            eventLoop, datagrams, () -> blackboard.backends().value(), relays::relays, time);
    CapacityServices capacities =
        CapacityServices.of(
            eventLoop,
            settings,
            blackboard,
            datagrams,
            relays,
            engine -> engine.load().work().plus(loads.at(engine.backend().id())),
            time);
    PlacementDecider decider =
        new PlacementDecider(
            blackboard,
            selector(settings, blackboard, loads, capacities.engines().capacities()),
            new CachePlanner(caches, reporter::noteExpectedParts),
            new WeightsPolicy(settings.get(GatewaySettings.WEIGHTS_BOUND).toMillis()),
            limits.rates(),
            capacities.engines().silent());
    PlacementClient client =
        client(eventLoop, blackboard, datagrams, relays, limits, decider, reporter, time);
    if (!settings.isOn(GatewaySettings.ADMISSION_QUEUE)) {
      return new PlacementServices(loads, reporter, decider, client, capacities, null, null);
    }
    AdmissionServices admission =
        new AdmissionServices(
            eventLoop,
            decider,
            loads,
            capacities.engines().capacities(),
            relays::deciders,
            name -> blackboard.configuration().value().pool(name).orElse(null),
            time);
    TicketClient tickets =
        new TicketClient(
            new TicketClient.Context(
                eventLoop,
                settings.get(GatewaySettings.NODE_ID),
                datagrams,
                client,
                admission,
                loads,
                relays::coordinator,
                relays::relays,
                relays::markUnresponsive,
                time),
            PlacementClient.ANSWER_TIMEOUT);
    return new PlacementServices(loads, reporter, decider, client, capacities, admission, tickets);
  }

  private static PlacementClient client(
      EventLoop eventLoop,
      GatewayBlackboard blackboard,
      DatagramExchange datagrams,
      RelayController relays,
      LimitServices limits,
      PlacementDecider decider,
      NodeReporter reporter,
      Time time) {
    return new PlacementClient(
        new PlacementClient.Context(
            eventLoop,
            datagrams,
            relays::coordinator,
            relays::relays,
            () -> blackboard.backends().value(),
            decider,
            limits.rateExchange(),
            reporter,
            time),
        PlacementClient.ANSWER_TIMEOUT,
        relays::markUnresponsive);
  }

  /** Returns the number of prompt tokens queued at an engine by the requests of all nodes. */
  long waitingTokens(TrackedBackend engine) {
    return engine.load().waitingTokens() + loads.at(engine.backend().id()).waitingTokens();
  }

  /** Returns what the admission queue counts, or null if requests do not wait for room. */
  @Nullable AdmissionMetrics admissionMetrics() {
    return admission == null ? null : admission.metrics();
  }

  /** Drops the state of backends that are not among those given. */
  void retain(Set<String> backends) {
    reporter.retain(backends);
    if (admission != null) {
      admission.retain(backends);
    }
  }

  /** Returns the service through which requests are placed. */
  PlacementService service() {
    return tickets == null ? client : tickets;
  }

  /** Returns what exchanges the tickets of waiting requests; null if none wait. */
  @Nullable TicketExchange ticketExchange(
      DatagramExchange datagrams, PlacementResponder responder, Time time) {
    return admission == null || tickets == null
        ? null
        : new TicketExchange(
            tickets, new TicketResponder(datagrams, admission, responder, loads, time), admission);
  }

  private static BackendSelector selector(
      GatewaySettings settings,
      GatewayBlackboard blackboard,
      PeerLoads loads,
      EngineCapacities capacities) {
    return settings.isOn(GatewaySettings.PLACEMENT_BY_TIME)
        ? new TimeSelector(loads, capacities, name -> blackboard.configuration().value().pool(name))
        : new BackendChooser(loads, settings.isOn(GatewaySettings.PROTECT_SHORT_PROMPTS));
  }
}
