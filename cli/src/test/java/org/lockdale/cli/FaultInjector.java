package org.lockdale.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.platform.PlatformFaults;

/** Injects faults into a deployment in this process, in an order determined by a seed. */
final class FaultInjector {

  private static final int FAULT_KINDS = 7;

  private final LocalCluster cluster;
  private final UniformRandomProvider random;
  private final List<String> injectedFaults = new ArrayList<>();

  FaultInjector(LocalCluster cluster, long seed) {
    this.cluster = cluster;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Injects a number of faults one after the other. Freezes, faults of the platform and restarts of
   * nodes have ended when the next fault starts.
   */
  void run(int faults) throws InterruptedException {
    for (int fault = 0; fault < faults; fault++) {
      injectNext();
      TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(300));
    }
  }

  /** Returns the injected faults in order, for failure messages. */
  List<String> injectedFaults() {
    return injectedFaults;
  }

  private void injectNext() throws InterruptedException {
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> crashEngine();
      case 1 -> freezeEngine();
      case 2 -> injectPlatformFault("outage", new PlatformFaults(true, 0, 0, 0, 1_000));
      case 3 -> injectPlatformFault("lost replies", new PlatformFaults(false, 0, 500, 0, 1_000));
      case 4 -> injectPlatformFault("slow", new PlatformFaults(false, 400, 0, 0, 1_000));
      case 5 -> restartNode();
      default -> drainEngine();
    }
  }

  private EngineServer anyEngine() {
    return cluster.engines().get(random.nextInt(cluster.engines().size()));
  }

  private void crashEngine() {
    EngineServer engine = anyEngine();
    injectedFaults.add("crash " + engine.settings().id());
    engine.crash();
  }

  private void freezeEngine() throws InterruptedException {
    EngineServer engine = anyEngine();
    injectedFaults.add("freeze " + engine.settings().id());
    engine.freeze();
    TimeUnit.MILLISECONDS.sleep(800);
    engine.thaw();
  }

  private void injectPlatformFault(String name, PlatformFaults faults) throws InterruptedException {
    injectedFaults.add("platform " + name);
    cluster.platform().setFaults(faults);
    TimeUnit.MILLISECONDS.sleep(1_200);
    cluster.platform().setFaults(PlatformFaults.NONE);
  }

  private void restartNode() throws InterruptedException {
    int node = random.nextInt(cluster.nodes().size());
    injectedFaults.add("restart node " + node);
    cluster.killNode(node);
    TimeUnit.MILLISECONDS.sleep(300);
    cluster.restartNode(node);
  }

  private void drainEngine() {
    EngineServer engine = anyEngine();
    injectedFaults.add("drain " + engine.settings().id());
    String incarnation = engine.drain();
    long now = cluster.history().nowMicros();
    cluster.history().add(new HistoryEvent.EngineLeaving(engine.settings().id(), incarnation, now));
  }
}
