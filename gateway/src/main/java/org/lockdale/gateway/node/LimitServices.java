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
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cluster.ClusterTable;
import org.lockdale.gateway.cluster.DatagramExchange;
import org.lockdale.gateway.cluster.LevelRecorder;
import org.lockdale.gateway.cluster.LimitClient;
import org.lockdale.gateway.cluster.LimitResponder;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.cluster.RateExchange;
import org.lockdale.gateway.cluster.RelayElection;
import org.lockdale.gateway.limit.LimitBound;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.table.StoreClock;

/**
 * The services that keep the total of all nodes' requests within the limits of tenants and the
 * rates that backends advertise.
 */
final class LimitServices {

  private final GatewayBlackboard blackboard;
  private final LimitResponder responder;
  private final LimitClient client;

  /** Keeps levels of limits in the shared store; null if they are not kept. */
  private final @Nullable LevelRecorder levels;

  private final BackendRates rates;
  private final RateExchange rateExchange;

  /**
   * Access of the services to the other nodes.
   *
   * @param selfId id of this node
   * @param incarnation random number that distinguishes this process from earlier ones of the same
   *     node
   * @param datagrams sends and receives queries and loans
   * @param limitRelays supplies the ids of the relays that may decide on limits, the most senior
   *     first
   * @param onUnresponsive receives the id of a relay that no longer responds
   * @param coordinator supplies the relay that places requests, or empty if this node does so
   * @param isCoordinator whether this node is the relay that places the requests of all nodes
   * @param relays supplies the other relays that place requests, the most senior first
   * @param peers supplies the other nodes
   * @param nodes supplies the number of nodes, or 0 if it is not yet known
   * @param isServing whether this node serves as a relay
   * @param table table in which levels of limits are kept
   * @param clock the store's clock
   */
  record Cluster(
      String selfId,
      long incarnation,
      DatagramExchange datagrams,
      Supplier<List<String>> limitRelays,
      Consumer<String> onUnresponsive,
      Supplier<Optional<RelayElection.Relay>> coordinator,
      BooleanSupplier isCoordinator,
      Supplier<List<RelayElection.Relay>> relays,
      Supplier<? extends Collection<PeerNode>> peers,
      IntSupplier nodes,
      BooleanSupplier isServing,
      ClusterTable table,
      StoreClock clock) {}

  /**
   * Creates the services.
   *
   * @param eventLoop event loop that runs the services
   * @param settings settings of the node
   * @param blackboard shared state of the node
   * @param cluster access to the other nodes
   * @param time clock
   * @param startedAtMillis monotonic time at which the process started
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
    boolean kept = settings.isOn(GatewaySettings.LIMITS_KEPT);
    responder =
        new LimitResponder(
            cluster.datagrams(),
            () -> blackboard.configuration().value(),
            bound,
            cluster.incarnation(),
            kept,
            time);
    client =
        new LimitClient(
            new LimitClient.Context(
                cluster.selfId(),
                eventLoop,
                cluster.datagrams(),
                cluster.limitRelays(),
                cluster.onUnresponsive(),
                responder,
                cluster.nodes(),
                bound,
                kept,
                startedAtMillis,
                time));
    levels =
        kept
            ? new LevelRecorder(
                new LevelRecorder.Context(
                    responder.keeper(cluster.selfId()),
                    cluster.table(),
                    () -> cluster.isServing().getAsBoolean() && client.isFirst() && hasLimits(),
                    cluster.clock(),
                    eventLoop,
                    time))
            : null;
    rates = new BackendRates(time);
    rateExchange =
        new RateExchange(
            new RateExchange.Context(
                cluster.selfId(),
                cluster.incarnation(),
                eventLoop,
                cluster.datagrams()::sendRateMessage,
                cluster.coordinator(),
                cluster.isCoordinator(),
                cluster.relays(),
                cluster.peers(),
                cluster.nodes(),
                rates,
                startedAtMillis,
                time));
  }

  /** Starts keeping levels of limits, if they are to be kept. */
  void start() {
    LevelRecorder recorder = levels;
    if (recorder != null) {
      recorder.start();
    }
  }

  /** Returns whether tenants have limits, and applies them to the buckets. */
  private boolean hasLimits() {
    responder.refresh();
    return !blackboard.configuration().value().tenantLimits().isEmpty();
  }

  /**
   * Performs periodic maintenance. Must be called periodically.
   *
   * @param backends text forms of the incarnations that are in the shared store
   */
  void maintain(Set<String> backends) {
    client.setLending(hasLimits());
    rates.tick(backends);
    rateExchange.tick();
  }

  /** Returns the service that decides on the limits of tenants for other nodes. */
  LimitResponder responder() {
    return responder;
  }

  /** Returns the limiter that enforces the limits of tenants. */
  LimitClient client() {
    return client;
  }

  /** Returns the service that shares the rates of backends with the other nodes. */
  RateExchange rateExchange() {
    return rateExchange;
  }

  /** Returns the rates that backends advertise. */
  BackendRates rates() {
    return rates;
  }
}
