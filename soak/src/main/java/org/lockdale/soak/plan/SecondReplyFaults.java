package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.lockdale.soak.plan.Fault.LinkTrouble;
import org.lockdale.soak.plan.Fault.ProcessTrouble;
import org.lockdale.soak.standin.SecondReplyKind;

/**
 * Draws servers that answer twice, one after the other and several at the same time, beside nodes
 * and links that fail, nodes that are cut off from all servers, a store that refuses nodes, and new
 * weights, which bring orders. They form plans of their own.
 */
final class SecondReplyFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x632BE59BD9B4E019L;

  private static final int MIN_GAP_MILLIS = 200;
  private static final int MAX_GAP_MILLIS = 1_200;
  private static final int MIN_DURATION_MILLIS = 1_000;
  private static final int MAX_DURATION_MILLIS = 5_000;
  private static final int MAX_DELAY_MILLIS = 300;
  private static final double MIN_SHARE = 0.3;
  private static final int MAX_SERIES_LENGTH = 3;

  /** One episode in this many affects all servers. */
  private static final int ALL_SERVERS_ONE_IN = 3;

  /** One episode in this many is a series at one server. */
  private static final int SERIES_ONE_IN = 4;

  /** One episode in this many comes with a fault of another kind. */
  private static final int CONCURRENT_FAULT_ONE_IN = 2;

  /** One cut or refusal in this many of other plans is kept, so that the servers stay in use. */
  private static final int KEPT_ONE_IN = 3;

  private SecondReplyFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    Drawing drawing = new Drawing(new SplittableRandom(seed ^ SEED_SALT), deployment, untilMillis);
    for (long at = fromMillis; at < untilMillis; at += drawing.gapMillis()) {
      drawing.addEpisode(at);
    }
    drawing.addSample(NodeCutFaults.draw(seed, fromMillis, untilMillis, deployment));
    drawing.addSample(StoreRefusalFaults.draw(seed, fromMillis, untilMillis, deployment));
    return drawing.faults;
  }

  private static final class Drawing {

    private final SplittableRandom random;
    private final Deployment deployment;
    private final List<String> servers;
    private final long untilMillis;
    private final List<PlannedFault> faults = new ArrayList<>();

    Drawing(SplittableRandom random, Deployment deployment, long untilMillis) {
      this.random = random;
      this.deployment = deployment;
      this.untilMillis = untilMillis;
      servers = new ArrayList<>(deployment.serverNames());
      servers.add(Deployment.CACHE_STORE);
    }

    long gapMillis() {
      return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }

    void addEpisode(long at) {
      if (random.nextInt(ALL_SERVERS_ONE_IN) == 0) {
        long lastsMillis = durationMillis();
        servers.forEach(server -> add(at, secondReplies(server, lastsMillis)));
      } else {
        addSeries(at, pick(servers));
      }
      if (random.nextInt(CONCURRENT_FAULT_ONE_IN) == 0) {
        add(at + random.nextInt(MAX_DURATION_MILLIS), concurrentFault());
      }
    }

    void addSample(List<PlannedFault> others) {
      for (PlannedFault other : others) {
        if (random.nextInt(KEPT_ONE_IN) == 0) {
          faults.add(other);
        }
      }
    }

    private void addSeries(long at, String server) {
      int length =
          random.nextInt(SERIES_ONE_IN) == 0 ? random.nextInt(2, MAX_SERIES_LENGTH + 1) : 1;
      long start = at;
      for (int step = 0; step < length; step++) {
        long lastsMillis = durationMillis();
        add(start, secondReplies(server, lastsMillis));
        start += lastsMillis + gapMillis();
      }
    }

    private Fault secondReplies(String server, long lastsMillis) {
      return new Fault.SecondReplies(
          server,
          pick(List.of(SecondReplyKind.values())),
          random.nextDouble(MIN_SHARE, 1),
          random.nextInt(1, MAX_DELAY_MILLIS + 1),
          lastsMillis);
    }

    private Fault concurrentFault() {
      String node = pick(deployment.nodeNames());
      return switch (random.nextInt(4)) {
        case 0 -> new Fault.ByOperator(Fault.OperatorChange.WEIGHTS_NAMED);
        case 1 ->
            new Fault.OnProcess(
                node,
                pick(List.of(ProcessTrouble.KILLED, ProcessTrouble.PAUSED)),
                durationMillis());
        case 2 ->
            new Fault.OnProcess(
                pick(deployment.serverNames()), ProcessTrouble.PAUSED, pauseMillis());
        default ->
            new Fault.OnLink(
                node,
                pick(deployment.serverNames()),
                pick(List.of(LinkTrouble.DELAYED, LinkTrouble.RESET, LinkTrouble.CUT_BACK)),
                pauseMillis());
      };
    }

    private void add(long at, Fault fault) {
      if (at < untilMillis) {
        faults.add(new PlannedFault(at, fault));
      }
    }

    private long durationMillis() {
      return random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
    }

    /** Returns a time that is short enough for replies to wait until its end. */
    private long pauseMillis() {
      return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }

    private <T> T pick(List<T> items) {
      return items.get(random.nextInt(items.size()));
    }
  }
}
