package org.lockdale.coordination.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.MembershipSettings;
import org.lockdale.coordination.membership.Outbound;
import org.lockdale.coordination.node.CoordinationListener;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.PeerMessage;

/**
 * A cluster of nodes in one process, on a virtual clock and a simulated network. Messages are
 * encoded and decoded with the production codec, so message sizes and processor times are real.
 * Delays and losses are determined by a seed.
 */
public final class SimulatedCluster {

  /** Size of the authentication code and of the UDP and IPv4 headers of a message, in bytes. */
  private static final int OVERHEAD_BYTES = 16 + 8 + 20;

  private static final long TICK_MICROS = 100_000;
  private static final int SEEDS = 3;
  private static final int PORT = 7080;

  /** Receives the state changes of all nodes. */
  public interface Observer {
    /** Called after a node added a member or replaced its known state. */
    void memberChanged(SimulatedNode node, Member member);

    /** Called after a configuration version took effect at a node. */
    void configurationChanged(SimulatedNode node, long version);
  }

  private final VirtualTime time = new VirtualTime();
  private final MessageCodec<PeerMessage> codec = MessageCodec.peerMessages();
  private final UniformRandomProvider random;
  private final ZonedLinks links;
  private final MembershipSettings settings;
  private final Observer observer;
  private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
  private final Map<InetSocketAddress, SimulatedNode> byAddress = new HashMap<>();

  /**
   * Creates a cluster without nodes.
   *
   * @param seed seed of all random choices
   * @param links delays, losses and network partitions
   * @param settings timing of membership
   * @param observer receives the state changes of all nodes
   */
  public SimulatedCluster(
      long seed, ZonedLinks links, MembershipSettings settings, Observer observer) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.links = links;
    this.settings = settings;
    this.observer = observer;
  }

  /** Adds and starts a node; the first nodes are the seeds of all others. */
  public SimulatedNode add(String id, String zone) {
    SimulatedNode node = new SimulatedNode(id, zone, addressOf(nodes.size()));
    nodes.put(id, node);
    byAddress.put(node.address(), node);
    start(node);
    return node;
  }

  private static InetSocketAddress addressOf(int index) {
    byte[] bytes = {10, (byte) (index >>> 16), (byte) (index >>> 8), (byte) index};
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), PORT);
    } catch (UnknownHostException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Restarts a killed node without its former state. */
  public void restart(SimulatedNode node) {
    start(node);
  }

  private void start(SimulatedNode node) {
    UniformRandomProvider nodeRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
    node.start(time.wallMillis(), seeds(), settings, nodeRandom, listenerOf(node));
    scheduleTick(node, node.incarnation(), random.nextLong(TICK_MICROS));
  }

  private List<InetSocketAddress> seeds() {
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (int index = 0; index < SEEDS; index++) {
      seeds.add(addressOf(index));
    }
    return seeds;
  }

  private CoordinationListener listenerOf(SimulatedNode node) {
    return new CoordinationListener() {
      @Override
      public void memberChanged(Member member) {
        observer.memberChanged(node, member);
      }

      @Override
      public void configurationChanged(ConfigurationState state) {
        observer.configurationChanged(node, state.version());
      }
    };
  }

  private void scheduleTick(SimulatedNode node, int incarnation, long delayMicros) {
    time.schedule(
        delayMicros,
        () -> {
          if (!node.isUp() || node.incarnation() != incarnation) {
            return;
          }
          if (node.isRunning()) {
            node.tick(time.monotonicMillis(), outbound -> sendAll(node, outbound));
          }
          scheduleTick(node, incarnation, TICK_MICROS);
        });
  }

  private void sendAll(SimulatedNode sender, List<Outbound> outbound) {
    for (Outbound message : outbound) {
      send(sender, message);
    }
  }

  private void send(SimulatedNode sender, Outbound outbound) {
    long start = System.nanoTime();
    byte[] bytes = codec.encode(outbound.message());
    sender.meter().addProcessorNanos(System.nanoTime() - start);
    sender.meter().count(time.nowMicros(), bytes.length + OVERHEAD_BYTES);
    SimulatedNode receiver = byAddress.get(outbound.destination());
    if (receiver == null) {
      return;
    }
    long delay = links.delayMicros(sender.zone(), receiver.zone(), random);
    if (delay != LinkModel.LOST) {
      time.schedule(delay, () -> deliver(receiver, bytes));
    }
  }

  private void deliver(SimulatedNode receiver, byte[] bytes) {
    if (!receiver.isRunning()) {
      return;
    }
    receiver.meter().count(time.nowMicros(), bytes.length + OVERHEAD_BYTES);
    long start = System.nanoTime();
    PeerMessage message = codec.decode(bytes);
    receiver.meter().addProcessorNanos(System.nanoTime() - start);
    receiver.receive(message, time.monotonicMillis(), outbound -> sendAll(receiver, outbound));
  }

  /** Applies an accepted change at one node, as after an operator's edit there. */
  public void accept(SimulatedNode node, ConfigurationChange change) {
    node.accept(change, outbound -> sendAll(node, outbound));
  }

  /** Makes a node announce that it is leaving; it continues to run. */
  public void leave(SimulatedNode node) {
    sendAll(node, node.coordination().leave());
  }

  /** Returns the nodes in the order they were added. */
  public List<SimulatedNode> nodes() {
    return List.copyOf(nodes.values());
  }

  /** Returns the clock. */
  public VirtualTime time() {
    return time;
  }

  /** Returns the links. */
  public ZonedLinks links() {
    return links;
  }

  /**
   * Returns the number of ordered pairs of nodes that are up, even if paused, in which the first
   * knows the second as alive.
   */
  public long alivePairs() {
    long pairs = 0;
    for (SimulatedNode node : nodes.values()) {
      if (node.isUp()) {
        for (Member member : node.coordination().membership().others()) {
          SimulatedNode other = nodes.get(member.id());
          if (member.isAlive() && other.isUp()) {
            pairs++;
          }
        }
      }
    }
    return pairs;
  }

  /** Returns whether every node that is up knows all other nodes that are up as alive. */
  public boolean isConverged() {
    long up = nodes.values().stream().filter(SimulatedNode::isUp).count();
    return alivePairs() == up * (up - 1);
  }

  /**
   * Runs the simulation until the cluster has converged.
   *
   * @param boundMillis maximum time to run, in milliseconds
   * @return the time that it took in milliseconds, or -1 if it did not converge within the bound
   */
  public long runUntilConverged(long boundMillis) {
    long start = time.monotonicMillis();
    while (!isConverged()) {
      if (time.monotonicMillis() - start > boundMillis) {
        return -1;
      }
      time.runMillis(100);
    }
    return time.monotonicMillis() - start;
  }

  /** Resets the meters of all nodes. */
  public void resetMeters() {
    nodes.values().forEach(node -> node.meter().reset());
  }
}
