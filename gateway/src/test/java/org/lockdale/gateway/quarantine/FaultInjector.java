package org.lockdale.gateway.quarantine;

import java.util.List;
import java.util.Random;
import org.lockdale.coordination.simulation.VirtualTime;

/** Injects the faults of a {@link QuarantineSimulation} that its requests do not cause. */
final class FaultInjector {

  private static final long RESET_INTERVAL_MICROS = 250_000;

  private final QuarantineSimulation simulation;
  private final SimulationPlan plan;
  private final Random random;
  private final VirtualTime time;

  FaultInjector(
      QuarantineSimulation simulation, SimulationPlan plan, Random random, VirtualTime time) {
    this.simulation = simulation;
    this.plan = plan;
    this.random = random;
    this.time = time;
  }

  void schedule() {
    if (plan.waves().share() > 0) {
      scheduleWave();
    }
    if (plan.disturbed()) {
      scheduleDisturbance();
    }
    if (plan.evidence().resets() > 0) {
      time.schedule(RESET_INTERVAL_MICROS, this::reset);
    }
  }

  /** Breaks connections of servers that stay alive. */
  private void reset() {
    double share = plan.evidence().resets() * RESET_INTERVAL_MICROS / 1_000_000;
    for (SimulatedQuarantineServer server : simulation.all) {
      for (QuarantineSimulation.Run run : List.copyOf(server.runs)) {
        if (random.nextDouble() < share) {
          server.runs.remove(run);
          run.lost();
        }
      }
    }
    time.schedule(RESET_INTERVAL_MICROS, this::reset);
  }

  private void scheduleWave() {
    time.schedule(
        (plan.waves().gapMillis() / 2 + random.nextInt(plan.waves().gapMillis())) * 1_000L,
        () -> {
          for (SimulatedQuarantineServer server : simulation.all) {
            if (random.nextDouble() < plan.waves().share()) {
              server.crash();
            }
          }
          scheduleWave();
        });
  }

  private void scheduleDisturbance() {
    time.schedule(
        (1_000 + random.nextInt(3_000)) * 1_000L,
        () -> {
          disturb();
          scheduleDisturbance();
        });
  }

  private void disturb() {
    SimulatedQuarantineNode node = simulation.nodes.get(random.nextInt(simulation.nodes.size()));
    long millis = 500 + random.nextInt(2_500);
    switch (random.nextInt(4)) {
      case 0 -> node.restart();
      case 1 -> simulation.nodes.forEach(SimulatedQuarantineNode::restart);
      case 2 -> {
        simulation.storeDown = true;
        simulation.storeDisturbedUntilMillis = time.monotonicMillis() + millis;
        time.schedule(millis * 1_000, this::restoreStore);
      }
      default -> {
        node.isolated = true;
        node.disturbedUntilMillis = time.monotonicMillis() + millis;
        time.schedule(millis * 1_000, () -> reconnect(node));
      }
    }
  }

  private void restoreStore() {
    simulation.storeDown = false;
    simulation.nodes.forEach(SimulatedQuarantineNode::readServers);
  }

  private void reconnect(SimulatedQuarantineNode node) {
    node.isolated = false;
    node.readServers();
    time.schedule(random.nextInt(QuarantineSimulation.TABLE_MILLIS) * 1_000L, node::readTable);
  }
}
