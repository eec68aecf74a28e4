package org.lockdale.gateway.quarantine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.gateway.backend.Backend;

/** A server of a {@link QuarantineSimulation}, which crashes and starts again. */
final class SimulatedQuarantineServer {

  /** Greatest delay in milliseconds with which a loaded node reads that a connection has closed. */
  private static final int MAX_READ_DELAY_MILLIS = 900;

  /**
   * Time in milliseconds within which nodes that were killed together restart, one after another.
   */
  private static final int DOWN_MILLIS = 2_500;

  private static final int ALL_KILLED_MILLIS = 500;

  /**
   * Time in milliseconds within which the nodes that observed a crash are killed if the plan says
   * so.
   */
  private static final int OBSERVERS_KILLED_MILLIS = 50;

  /**
   * Time in milliseconds from the crash of a server until its record is gone, as in a trace of the
   * soak.
   */
  private static final int RECORD_EXPIRY_MILLIS = 2_200;

  private final QuarantineSimulation simulation;
  String id;
  boolean up = true;
  boolean hasRecord = true;
  final InetSocketAddress address;
  final Set<QuarantineSimulation.Run> runs = new LinkedHashSet<>();

  SimulatedQuarantineServer(QuarantineSimulation simulation, int index) {
    this.simulation = simulation;
    id = "s" + index + "@" + simulation.time.wallMillis();
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + index);
  }

  Backend record() {
    return new Backend(id, "pool", address, "zone", 64, false, Map.of());
  }

  void crash() {
    if (!up) {
      return;
    }
    up = false;
    simulation.crashes++;
    List<QuarantineSimulation.Run> lost = List.copyOf(runs);
    runs.clear();
    Set<SimulatedQuarantineNode> observers = new LinkedHashSet<>();
    lost.forEach(run -> observers.add(run.node));
    lost.forEach(this::reportCrash);
    if (simulation.plan.evidence().witnessesKilled()) {
      observers.forEach(
          node ->
              simulation.time.schedule(
                  simulation.random.nextInt(OBSERVERS_KILLED_MILLIS) * 1_000L, node::restart));
    }
    simulation.nodes.forEach(node -> node.idle.remove(address));
    if (simulation.plan.evidence().allKilled() > 0
        && simulation.random.nextDouble() < simulation.plan.evidence().allKilled()) {
      simulation.nodes.forEach(
          node ->
              simulation.time.schedule(
                  simulation.random.nextInt(ALL_KILLED_MILLIS) * 1_000L,
                  () -> node.restartAfter(simulation.random.nextInt(DOWN_MILLIS))));
    }
    simulation.time.schedule(
        RECORD_EXPIRY_MILLIS * 1_000L + simulation.random.nextInt(200_000), this::removeRecord);
    simulation.time.schedule(simulation.plan.waves().restartMillis() * 1_000L, this::startAgain);
  }

  /** A node that is killed before it has read that the connection closed never reports it. */
  private void reportCrash(QuarantineSimulation.Run run) {
    Quarantine instance = run.node.quarantine;
    int late =
        simulation.plan.evidence().allKilled() > 0
            ? simulation.random.nextInt(MAX_READ_DELAY_MILLIS)
            : 0;
    if (late == 0) {
      run.lost();
      return;
    }
    simulation.time.schedule(
        late * 1_000L,
        () -> {
          if (run.node.quarantine == instance) {
            run.lost();
          }
        });
  }

  private void removeRecord() {
    if (!up) {
      hasRecord = false;
      simulation.nodes.forEach(SimulatedQuarantineNode::readServers);
    }
  }

  private void startAgain() {
    // The server keeps its id; the start simulation.time distinguishes the next incarnation.
    id = id.substring(0, id.indexOf('@') + 1) + simulation.time.wallMillis();
    up = true;
    hasRecord = true;
    simulation.nodes.forEach(SimulatedQuarantineNode::readServers);
  }
}
