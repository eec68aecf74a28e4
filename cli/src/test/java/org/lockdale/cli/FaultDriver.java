package org.lockdale.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.platform.PlatformFaults;

/** Brings about faults in a deployment in this process, in an order that a seed decides. */
final class FaultDriver {

  private static final int KINDS = 7;

  private final LocalCluster cluster;
  private final UniformRandomProvider random;
  private final List<String> done = new ArrayList<>();

  FaultDriver(LocalCluster cluster, long seed) {
    this.cluster = cluster;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Brings about a number of faults, each of which is over when the next one begins. */
  void run(int faults) throws InterruptedException {
    for (int fault = 0; fault < faults; fault++) {
      step();
      TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(300));
    }
  }

  /** Returns what was done, for a failure's message. */
  List<String> done() {
    return done;
  }

  private void step() throws InterruptedException {
    switch (random.nextInt(KINDS)) {
      case 0 -> crashEngine();
      case 1 -> freezeEngine();
      case 2 -> platform("outage", new PlatformFaults(true, 0, 0, 0, 1_000));
      case 3 -> platform("lost replies", new PlatformFaults(false, 0, 500, 0, 1_000));
      case 4 -> platform("slow", new PlatformFaults(false, 400, 0, 0, 1_000));
      case 5 -> restartNode();
      default -> engineLeaves();
    }
  }

  private EngineServer anyEngine() {
    return cluster.engines().get(random.nextInt(cluster.engines().size()));
  }

  private void crashEngine() {
    EngineServer engine = anyEngine();
    done.add("crash " + engine.settings().id());
    engine.crash();
  }

  private void freezeEngine() throws InterruptedException {
    EngineServer engine = anyEngine();
    done.add("freeze " + engine.settings().id());
    engine.freeze();
    TimeUnit.MILLISECONDS.sleep(800);
    engine.thaw();
  }

  private void platform(String name, PlatformFaults faults) throws InterruptedException {
    done.add("platform " + name);
    cluster.platform().setFaults(faults);
    TimeUnit.MILLISECONDS.sleep(1_200);
    cluster.platform().setFaults(PlatformFaults.NONE);
  }

  private void restartNode() throws InterruptedException {
    int node = random.nextInt(cluster.nodes().size());
    done.add("restart node " + node);
    cluster.killNode(node);
    TimeUnit.MILLISECONDS.sleep(300);
    cluster.restartNode(node);
  }

  private void engineLeaves() {
    EngineServer engine = anyEngine();
    done.add("leave " + engine.settings().id());
    String incarnation = engine.leave();
    long now = cluster.history().nowMicros();
    cluster.history().add(new HistoryEvent.EngineLeaving(engine.settings().id(), incarnation, now));
  }
}
