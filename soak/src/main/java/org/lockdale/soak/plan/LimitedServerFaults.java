package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.lockdale.soak.plan.Fault.LinkTrouble;
import org.lockdale.soak.plan.Fault.ProcessTrouble;
import org.lockdale.soak.plan.Fault.StoreTrouble;

/**
 * Draws servers that advertise rate limits throughout, while requests to them are delayed: they are
 * paused, links to them fail, the store loses their records, and nodes restart one after the other.
 * They form plans of their own.
 */
final class LimitedServerFaults {

  /** Separates the random numbers of these faults from those of other faults of the same seed. */
  private static final long SEED_SALT = 0x2545F4914F6CDD1DL;

  private static final int MIN_GAP_MILLIS = 1_500;
  private static final int MAX_GAP_MILLIS = 5_000;
  private static final int MIN_DURATION_MILLIS = 1_000;
  private static final int MAX_DURATION_MILLIS = 7_000;
  private static final double MAX_PER_SECOND = 6;

  /** One server in this many advertises a rate below one request in two seconds. */
  private static final int LOW_RATE_ONE_IN = 3;

  private static final double LOW_PER_SECOND = 0.5;
  private static final int MIN_RESTART_MILLIS = 300;
  private static final int MAX_RESTART_MILLIS = 1_000;
  private static final int MIN_TURN_MILLIS = 1_500;
  private static final int MAX_TURN_MILLIS = 4_000;

  private LimitedServerFaults() {}

  static List<PlannedFault> draw(
      long seed, long fromMillis, long untilMillis, Deployment deployment) {
    Drawing drawing = new Drawing(new SplittableRandom(seed ^ SEED_SALT), deployment, untilMillis);
    drawing.limitServers(fromMillis);
    for (long at = fromMillis + drawing.gapMillis(); at < untilMillis; at += drawing.gapMillis()) {
      drawing.addEpisode(at);
    }
    return drawing.faults;
  }

  private static final class Drawing {

    private final SplittableRandom random;
    private final Deployment deployment;
    private final long untilMillis;
    private final List<String> limited;
    private final List<PlannedFault> faults = new ArrayList<>();

    Drawing(SplittableRandom random, Deployment deployment, long untilMillis) {
      this.random = random;
      this.deployment = deployment;
      this.untilMillis = untilMillis;
      List<String> servers = new ArrayList<>(deployment.serverNames());
      Collections.shuffle(servers, new Random(random.nextLong()));
      limited = servers.subList(0, random.nextInt(1, servers.size() + 1));
    }

    int gapMillis() {
      return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }

    /** Lets servers advertise rates until after the end of the run. */
    void limitServers(long at) {
      for (String server : limited) {
        boolean low = random.nextInt(LOW_RATE_ONE_IN) == 0;
        double perSecond = random.nextDouble(low ? LOW_PER_SECOND : MAX_PER_SECOND);
        add(at, new Fault.RateNamed(server, perSecond, 2 * untilMillis));
      }
    }

    void addEpisode(long at) {
      switch (random.nextInt(6)) {
        case 0 -> limited.forEach(server -> pause(server, at));
        case 1 -> pause(pick(limited), at);
        case 2 -> failLinks(at, deployment.nodeNames());
        case 3 -> failLinks(at, List.of(pick(deployment.nodeNames())));
        case 4 ->
            add(
                at,
                new Fault.OnStore(
                    pick(List.of(StoreTrouble.FORGETFUL, StoreTrouble.DOWN, StoreTrouble.SILENT)),
                    durationMillis()));
        default -> restartInTurn(at);
      }
    }

    private void pause(String server, long at) {
      add(at, new Fault.OnProcess(server, ProcessTrouble.PAUSED, durationMillis()));
    }

    private void failLinks(long at, List<String> nodes) {
      String server = pick(limited);
      LinkTrouble trouble = pick(List.of(LinkTrouble.values()));
      long lastsMillis = durationMillis();
      nodes.forEach(node -> add(at, new Fault.OnLink(node, server, trouble, lastsMillis)));
    }

    private void restartInTurn(long at) {
      ProcessTrouble trouble = pick(List.of(ProcessTrouble.RESTARTED, ProcessTrouble.KILLED));
      long turnMillis = random.nextInt(MIN_TURN_MILLIS, MAX_TURN_MILLIS);
      long next = at;
      for (String node : deployment.nodeNames()) {
        int downMillis = random.nextInt(MIN_RESTART_MILLIS, MAX_RESTART_MILLIS);
        add(next, new Fault.OnProcess(node, trouble, downMillis));
        next += turnMillis;
      }
    }

    private void add(long at, Fault fault) {
      if (at < untilMillis) {
        faults.add(new PlannedFault(at, fault));
      }
    }

    private long durationMillis() {
      return random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
    }

    private <T> T pick(List<T> items) {
      return items.get(random.nextInt(items.size()));
    }
  }
}
