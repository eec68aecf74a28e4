package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.lockdale.soak.plan.Fault.ConnectTrouble;
import org.lockdale.soak.plan.Fault.OpenTrouble;

/**
 * Draws nodes that are cut off from all servers, never all nodes at the same time. They are drawn
 * separately from all other faults, so that the other faults of a seed that has failed before stay
 * the same.
 */
final class NodeCutFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0xA0761D6478BD642FL;

  private static final int MIN_GAP_MILLIS = 700;
  private static final int MAX_GAP_MILLIS = 2_000;
  private static final int MIN_DURATION_MILLIS = 1_000;
  private static final int MAX_DURATION_MILLIS = 6_000;

  /** Maximum of short cuts, which end before most requests that were forwarded in their time do. */
  private static final int MAX_SHORT_DURATION_MILLIS = 1_600;

  /** One episode in this many may have a long cut. */
  private static final int LONG_ONE_IN = 4;

  private static final int MAX_SERIES_LENGTH = 3;

  /** Time between the end of a cut and the next one of the same series. */
  private static final int SERIES_STEP_MILLIS = 700;

  /** One episode in this many is a series of equal cuts. */
  private static final int SERIES_ONE_IN = 4;

  /** One episode in this many may affect several nodes. */
  private static final int SEVERAL_NODES_ONE_IN = 6;

  /** In one episode in this many, open connections are silent instead of reset. */
  private static final int SILENT_ONE_IN = 4;

  private NodeCutFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    if (deployment.nodes() == 1) {
      return List.of();
    }
    Drawing drawing = new Drawing(new SplittableRandom(seed ^ SEED_SALT), deployment);
    for (long at = fromMillis; at < untilMillis; at += drawing.gapMillis()) {
      drawing.addEpisode(at, untilMillis);
    }
    return drawing.faults;
  }

  private static final class Drawing {

    private final SplittableRandom random;
    private final Deployment deployment;
    private final Map<String, Long> cutUntil = new HashMap<>();
    private final List<PlannedFault> faults = new ArrayList<>();

    Drawing(SplittableRandom random, Deployment deployment) {
      this.random = random;
      this.deployment = deployment;
    }

    long gapMillis() {
      return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }

    /** Draws cuts of one or more nodes that begin at the same time, some of them repeatedly. */
    void addEpisode(long at, long untilMillis) {
      ConnectTrouble connects = pick(ConnectTrouble.values());
      OpenTrouble open =
          random.nextInt(SILENT_ONE_IN) == 0 ? OpenTrouble.SILENT : OpenTrouble.RESET;
      boolean isLong = random.nextInt(LONG_ONE_IN) == 0;
      int longest = isLong ? MAX_DURATION_MILLIS : MAX_SHORT_DURATION_MILLIS;
      long lastsMillis = random.nextInt(MIN_DURATION_MILLIS, longest + 1);
      int length =
          random.nextInt(SERIES_ONE_IN) == 0 ? random.nextInt(2, MAX_SERIES_LENGTH + 1) : 1;
      int count =
          random.nextInt(SEVERAL_NODES_ONE_IN) == 0 ? random.nextInt(1, deployment.nodes()) : 1;
      List<String> nodes = new ArrayList<>(deployment.nodeNames());
      for (int number = 0; number < count; number++) {
        String node = nodes.remove(random.nextInt(nodes.size()));
        for (int step = 0; step < length; step++) {
          long start = at + step * (lastsMillis + SERIES_STEP_MILLIS);
          if (start < untilMillis) {
            add(start, new Fault.NodeCutFromServers(node, connects, open, lastsMillis));
          }
        }
      }
    }

    /** Adds a cut unless all other nodes may be cut off until it begins or later. */
    private void add(long at, Fault.NodeCutFromServers cut) {
      boolean leavesOne =
          deployment.nodeNames().stream()
              .anyMatch(node -> !node.equals(cut.node()) && cutUntil.getOrDefault(node, 0L) < at);
      if (leavesOne) {
        cutUntil.merge(cut.node(), at + cut.lastsMillis(), Math::max);
        faults.add(new PlannedFault(at, cut));
      }
    }

    private <T> T pick(T[] items) {
      return items[random.nextInt(items.length)];
    }
  }
}
