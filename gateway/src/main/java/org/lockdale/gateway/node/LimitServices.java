package org.lockdale.gateway.node;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.LimitClient;
import org.lockdale.gateway.cluster.LimitResponder;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.RateExchange;
import org.lockdale.gateway.cluster.RelayElection;
import org.lockdale.gateway.limit.LimitBound;
import org.lockdale.gateway.rate.BackendRates;

/** What keeps the requests of all nodes together within limits: those of tenants, and rates. */
final class LimitServices {

  private final GatewayBlackboard blackboard;
  private final LimitResponder responder;
  private final LimitClient client;
  private final BackendRates rates;
  private final RateExchange rateExchange;

  /**
   * Where the services find the other nodes.
   *
   * @param selfId id of this node
   * @param life tells the lives of this node apart
   * @param datagrams carries questions and loans
   * @param deciders tells the ids of the relays that may decide, the most senior first
   * @param onSilent told of a relay that no longer answers
   * @param coordinator the relay that places requests, or empty where this node does so itself
   * @param placesForAll whether this node is the relay that places the requests of all
   * @param relays the other relays that can be relied on
   * @param peers the other nodes
   * @param nodes tells the number of nodes, or 0 where it is not known yet
   */
  record Cluster(
      String selfId,
      long life,
      DatagramExchange datagrams,
      Supplier<List<String>> deciders,
      Consumer<String> onSilent,
      Supplier<Optional<RelayElection.Relay>> coordinator,
      BooleanSupplier placesForAll,
      Supplier<List<RelayElection.Relay>> relays,
      Supplier<? extends Collection<PeerNode>> peers,
      IntSupplier nodes) {}

  /**
   * Creates the services.
   *
   * @param eventLoop runs them
   * @param settings settings of the node
   * @param blackboard what the node believes
   * @param cluster where they find the other nodes
   * @param time clock
   * @param startedAtMillis monotonic time at which the process began
   */
  LimitServices(
      EventLoop eventLoop,
      GatewaySettings settings,
      GatewayBlackboard blackboard,
      Cluster cluster,
      Time time,
      long startedAtMillis) {
    this.blackboard = blackboard;
    LimitBound bound =
        new LimitBound(
            settings.get(GatewaySettings.LIMITS_WINDOW),
            settings.get(GatewaySettings.LIMITS_OVERSHOOT),
            settings.get(GatewaySettings.LIMITS_SLACK));
    responder =
        new LimitResponder(
            cluster.datagrams(),
            () -> blackboard.configuration().value(),
            bound,
            cluster.life(),
            time);
    client =
        new LimitClient(
            new LimitClient.Context(
                cluster.selfId(),
                eventLoop,
                cluster.datagrams(),
                cluster.deciders(),
                cluster.onSilent(),
                responder,
                cluster.nodes(),
                bound,
                startedAtMillis,
                time));
    rates = new BackendRates(time);
    rateExchange =
        new RateExchange(
            new RateExchange.Context(
                cluster.selfId(),
                cluster.life(),
                eventLoop,
                cluster.datagrams()::sendOfRates,
                cluster.coordinator(),
                cluster.placesForAll(),
                cluster.relays(),
                cluster.peers(),
                cluster.nodes(),
                rates,
                startedAtMillis,
                time));
  }

  /**
   * To be called from time to time.
   *
   * @param backends text forms of the incarnations on record
   */
  void upkeep(Set<String> backends) {
    responder.refresh();
    client.lend(!blackboard.configuration().value().tenantLimits().isEmpty());
    rates.tick(backends);
    rateExchange.tick();
  }

  /** Returns what decides on tenants' limits for other nodes. */
  LimitResponder responder() {
    return responder;
  }

  /** Returns what keeps tenants to their limits. */
  LimitClient client() {
    return client;
  }

  /** Returns what keeps requests within the rates of back ends, with the other nodes. */
  RateExchange rateExchange() {
    return rateExchange;
  }

  /** Returns what is known of the rates that back ends name. */
  BackendRates rates() {
    return rates;
  }
}
