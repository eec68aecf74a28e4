package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws releases of the engines' software, during which one node is paused, cut off from the store
 * and the other nodes, or refused by the store. They form plans of their own.
 */
final class OutOfStepFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x6C6F636B64616C65L;

  private static final int MIN_GAP_MILLIS = 1_000;
  private static final int MAX_GAP_MILLIS = 4_000;

  /** Time between the replacements of two engines. */
  private static final int MIN_STEP_MILLIS = 200;

  private static final int MAX_STEP_MILLIS = 1_500;

  /** Time from the start of a release until a node is out of step. */
  private static final int MAX_DELAY_MILLIS = 2_500;

  private static final int MIN_DURATION_MILLIS = 1_500;
  private static final int MAX_DURATION_MILLIS = 7_000;

  private OutOfStepFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    Drawing drawing = new Drawing(new SplittableRandom(seed ^ SEED_SALT), deployment);
    long at = fromMillis;
    while (at < untilMillis) {
      at = drawing.addEpisode(at) + drawing.random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    return drawing.faults.stream().filter(fault -> fault.atMillis() < untilMillis).toList();
  }

  private static final class Drawing {

    private final SplittableRandom random;
    private final Deployment deployment;
    private final List<PlannedFault> faults = new ArrayList<>();
    private boolean newer;

    Drawing(SplittableRandom random, Deployment deployment) {
      this.random = random;
      this.deployment = deployment;
      this.newer = random.nextBoolean();
    }

    /** Draws a release and a node that is out of step, and returns the time at which both end. */
    long addEpisode(long at) {
      long released = addRelease(at);
      long lastsMillis = random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
      long from = at + random.nextInt(MAX_DELAY_MILLIS);
      List<String> nodes = deployment.nodeNames();
      String node = nodes.get(random.nextInt(nodes.size()));
      switch (random.nextInt(3)) {
        case 0 -> add(from, new Fault.OnProcess(node, Fault.ProcessTrouble.PAUSED, lastsMillis));
        case 1 -> cutOff(from, node, lastsMillis);
        default ->
            add(from, new Fault.StoreRefusesNodes(List.of(node), pickRefusal(), 1, lastsMillis));
      }
      return Math.max(released, from + lastsMillis);
    }

    private Fault.RefusalTrouble pickRefusal() {
      Fault.RefusalTrouble[] troubles = Fault.RefusalTrouble.values();
      return troubles[random.nextInt(troubles.length)];
    }

    /** Cuts a node off from the store and all other nodes; it still reaches callers and servers. */
    private void cutOff(long at, String node, long lastsMillis) {
      add(at, cut(node, Deployment.STORE, lastsMillis));
      for (String other : deployment.nodeNames()) {
        if (!other.equals(node)) {
          add(at, cut(node, other, lastsMillis));
          add(at, cut(other, node, lastsMillis));
        }
      }
    }

    private static Fault cut(String source, String destination, long lastsMillis) {
      return new Fault.OnLink(source, destination, Fault.LinkTrouble.CUT_FORTH, lastsMillis);
    }

    /** Draws the replacement of all engines but one by ones of the other version. */
    private long addRelease(long at) {
      newer = !newer;
      boolean announced = random.nextBoolean();
      List<String> engines = deployment.engineNames();
      int kept = random.nextInt(engines.size());
      long time = at;
      for (int index = 0; index < engines.size(); index++) {
        if (index != kept) {
          add(time, new Fault.SoftwareReleased(engines.get(index), newer, announced));
          time += random.nextInt(MIN_STEP_MILLIS, MAX_STEP_MILLIS);
        }
      }
      return time;
    }

    private void add(long at, Fault fault) {
      faults.add(new PlannedFault(at, fault));
    }
  }
}
