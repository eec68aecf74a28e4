package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cache.CacheDirectory;
import org.lockdale.gateway.cache.CachePlanner;
import org.lockdale.gateway.cache.UnresponsiveHolders;
import org.lockdale.gateway.capacity.EngineCapacities;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.placement.BackendChooser;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.lockdale.http.LoopbackPorts;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementTicket;
import org.lockdale.protocol.generated.TicketCancelled;
import org.lockdale.protocol.generated.TicketHeld;
import org.lockdale.protocol.generated.TicketRefused;

/** The classes of a node that take part in placing requests by tickets. */
final class TicketNode extends NoOpDatagramListener {

  static final String MODEL = "model";

  /** Long enough for a relay that answers to do so in time on a busy machine. */
  static final int ANSWER_MILLIS = 1_000;

  final PeerLoads loads = new PeerLoads(SystemTime.instance());
  final InetSocketAddress address = LoopbackPorts.free();
  final AdmissionServices admission;
  final PlacementClient placements;
  final TicketClient client;
  final TicketResponder responder;

  /**
   * Starts a node.
   *
   * @param id id of the node
   * @param loop the event loop that runs all of its tasks
   * @param blackboard where it reads the engines
   * @param deciders supplies the number of nodes that place requests
   * @param known the relays that it knows, the preferred one first
   */
  TicketNode(
      String id,
      EventLoop loop,
      GatewayBlackboard blackboard,
      IntSupplier deciders,
      List<RelayElection.Relay> known)
      throws IOException {
    DatagramExchange datagrams = new DatagramExchange(id, address, loop, new TrafficMeter());
    datagrams.start(this);
    CacheDirectory caches =
        new CacheDirectory(
            loop, new UnresponsiveHolders(), () -> blackboard.backends().value(), List::of);
    PlacementDecider decider =
        new PlacementDecider(
            blackboard,
            new BackendChooser(loads),
            new CachePlanner(caches, (engine, parts) -> {}),
            new WeightsPolicy(60_000),
            new BackendRates(SystemTime.instance()));
    NodeReporter reporter =
        new NodeReporter(
            loop, datagrams, () -> blackboard.backends().value(), List::of, SystemTime.instance());
    placements =
        new PlacementClient(
            new PlacementClient.Context(
                loop,
                datagrams,
                () -> known.stream().findFirst(),
                () -> known,
                () -> blackboard.backends().value(),
                decider,
                (relay, backend) -> {},
                reporter,
                SystemTime.instance()),
            Duration.ofMillis(ANSWER_MILLIS),
            relay -> {});
    Pool pool = new Pool("pool", 1_000, Set.of(MODEL), 100_000, 5);
    admission =
        new AdmissionServices(
            loop,
            decider,
            loads,
            EngineCapacities.UNKNOWN,
            deciders,
            name -> pool,
            SystemTime.instance());
    client =
        new TicketClient(
            new TicketClient.Context(
                loop,
                id,
                datagrams,
                placements,
                admission,
                loads,
                () -> known.stream().findFirst(),
                () -> known,
                relay -> {},
                SystemTime.instance()),
            Duration.ofMillis(ANSWER_MILLIS));
    responder =
        new TicketResponder(
            datagrams,
            admission,
            new PlacementResponder(datagrams, decider, loads, SystemTime.instance()),
            loads,
            SystemTime.instance());
  }

  @Override
  public void onPlacementAnswer(String sender, PlacementAnswer answer) {
    placements.onAnswer(sender, answer);
    client.onAnswer(sender, answer);
  }

  @Override
  public void onTicketHeld(String sender, TicketHeld message) {
    client.onHeld(sender, message);
  }

  @Override
  public void onTicketRefused(String sender, TicketRefused message) {
    client.onRefused(sender, message);
  }

  @Override
  public void onPlacementTicket(String sender, InetSocketAddress from, PlacementTicket ticket) {
    responder.onTicket(sender, from, ticket);
  }

  @Override
  public void onTicketCancelled(String sender, TicketCancelled message) {
    responder.onCancelled(sender, message);
  }
}
