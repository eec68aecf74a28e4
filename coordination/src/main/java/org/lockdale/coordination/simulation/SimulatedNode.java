package org.lockdale.coordination.simulation;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.MembershipSettings;
import org.lockdale.coordination.membership.Outbound;
import org.lockdale.coordination.node.CoordinationListener;
import org.lockdale.coordination.node.CoordinationNode;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationTransfer;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.PeerMessage;

/** A node of a {@link SimulatedCluster}: the production state machine on a virtual clock. */
public final class SimulatedNode {

  private final String id;
  private final String zone;
  private final InetSocketAddress address;
  private final TrafficMeter meter = new TrafficMeter();
  private CoordinationNode node;
  private boolean processUp = true;
  private boolean paused;
  private int incarnation;

  SimulatedNode(String id, String zone, InetSocketAddress address) {
    this.id = id;
    this.zone = zone;
    this.address = address;
  }

  /** Starts a new incarnation of the node, which knows only the seeds. */
  void start(
      long wallMillis,
      List<InetSocketAddress> seeds,
      MembershipSettings settings,
      UniformRandomProvider random,
      CoordinationListener listener) {
    incarnation++;
    processUp = true;
    paused = false;
    Member self = new Member(id, wallMillis + incarnation, address, 1, zone, MemberStatus.ALIVE);
    node = new CoordinationNode(self, seeds, settings, random, listener);
  }

  /** Returns the node id. */
  public String id() {
    return id;
  }

  /** Returns the zone. */
  public String zone() {
    return zone;
  }

  /** Returns the state machine. */
  public CoordinationNode coordination() {
    return node;
  }

  /** Returns the traffic and processor time of this node. */
  public TrafficMeter meter() {
    return meter;
  }

  /** Returns whether the process is up, even if it is paused. */
  public boolean isUp() {
    return processUp;
  }

  /** Kills the process; it sends no further messages. */
  public void kill() {
    processUp = false;
  }

  /** Pauses the process; messages to it are lost until it resumes. */
  public void pause() {
    paused = true;
  }

  /** Resumes a paused process. */
  public void resume() {
    paused = false;
  }

  boolean isRunning() {
    return processUp && !paused;
  }

  int incarnation() {
    return incarnation;
  }

  InetSocketAddress address() {
    return address;
  }

  void tick(long nowMillis, Consumer<List<Outbound>> sender) {
    long start = System.nanoTime();
    List<Outbound> outbound = node.tick(nowMillis);
    meter.addProcessorNanos(System.nanoTime() - start);
    sender.accept(outbound);
  }

  void receive(PeerMessage message, long nowMillis, Consumer<List<Outbound>> sender) {
    long start = System.nanoTime();
    List<Outbound> outbound = node.receive(message, nowMillis);
    meter.addProcessorNanos(System.nanoTime() - start);
    sender.accept(outbound);
  }

  void accept(ConfigurationChange change, Consumer<List<Outbound>> sender) {
    sender.accept(node.accept(new ConfigurationTransfer(null, List.of(change))));
  }

  /** Returns the configuration that the node has applied. */
  public ConfigurationState configuration() {
    return node.configuration();
  }
}
