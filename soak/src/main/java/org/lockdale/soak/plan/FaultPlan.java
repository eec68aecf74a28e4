package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of a run. The same seed, length and deployment result in the same plan.
 *
 * @param seed seed from which the plan was drawn
 * @param lengthMillis length of the run, in milliseconds
 * @param faults faults, ordered by time
 */
public record FaultPlan(long seed, long lengthMillis, List<PlannedFault> faults) {

  /** Time without faults at the start, in which nodes open connections and fill their caches. */
  private static final long QUIET_START_MILLIS = 3_000;

  /**
   * Maximum time without faults at the end. Only there do rules apply that require a long time
   * without disruption.
   */
  private static final long QUIET_END_MILLIS = 12_000;

  /** Divisor of a short run's length that gives its time without faults at the end. */
  private static final int QUIET_END_DIVISOR = 3;

  /** Time without faults at the end of a plan of kills of all engines. */
  private static final long RECOVERY_END_MILLIS = 30_000;

  private static final int MIN_GAP_MILLIS = 300;
  private static final int MAX_GAP_MILLIS = 3_500;
  private static final int MAX_SERIES_LENGTH = 4;
  private static final int SERIES_STEP_MILLIS = 700;
  private static final int MIN_FAULT_MILLIS = 200;
  private static final int MAX_FAULT_MILLIS = 4_000;

  /** Some faults outlast the 5 s after which a revoked key must not be served. */
  private static final int MAX_LONG_FAULT_MILLIS = 9_000;

  /** One fault in this many is a long one. */
  private static final int LONG_FAULT_ONE_IN = 6;

  /** Copies the faults. */
  public FaultPlan {
    faults = List.copyOf(faults);
  }

  /** Draws a plan. */
  public static FaultPlan draw(long seed, long lengthMillis, Deployment deployment) {
    Drawing drawing = new Drawing(new SplittableRandom(seed), deployment);
    long last = lastFaultMillis(lengthMillis);
    List<PlannedFault> faults = new ArrayList<>();
    for (long at = QUIET_START_MILLIS; at < last; at += drawing.gapMillis()) {
      for (PlannedFault fault : drawing.episode(at)) {
        if (fault.atMillis() < last) {
          faults.add(fault);
        }
      }
    }
    faults.addAll(ForeignEntryFaults.draw(seed, QUIET_START_MILLIS, last));
    faults.addAll(AdvertisedRateFaults.draw(seed, QUIET_START_MILLIS, last, deployment));
    faults.addAll(AnnouncementFaults.draw(seed, QUIET_START_MILLIS, last, deployment));
    faults.addAll(NodeCutFaults.draw(seed, QUIET_START_MILLIS, last, deployment));
    faults.addAll(StoreRefusalFaults.draw(seed, QUIET_START_MILLIS, last, deployment));
    faults.addAll(FleetRestartFaults.draw(seed, QUIET_START_MILLIS, last, deployment));
    faults.addAll(OddEntryFaults.draw(seed, QUIET_START_MILLIS, last));
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new FaultPlan(seed, lengthMillis, faults);
  }

  /** Draws a plan of software releases with kills of all nodes, and of no other faults. */
  public static FaultPlan drawFleetRestarts(long seed, long lengthMillis, Deployment deployment) {
    List<PlannedFault> faults =
        new ArrayList<>(
            FleetRestartFaults.drawAlone(
                seed, QUIET_START_MILLIS, lastFaultMillis(lengthMillis), deployment));
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new FaultPlan(seed, lengthMillis, faults);
  }

  /**
   * Draws a plan of kills of all engines, with few other faults. It ends with time enough for the
   * requests that were quarantined to be served again.
   */
  public static FaultPlan drawServiceCrashes(long seed, long lengthMillis, Deployment deployment) {
    List<PlannedFault> faults =
        new ArrayList<>(
            ServiceCrashFaults.draw(
                seed, QUIET_START_MILLIS, lengthMillis - RECOVERY_END_MILLIS, deployment));
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new FaultPlan(seed, lengthMillis, faults);
  }

  /**
   * Draws a plan of kills of all engines, several in a row, beside odd entries in the tables. It
   * ends with time enough for the requests that were quarantined to be served again.
   */
  public static FaultPlan drawCrashSeries(long seed, long lengthMillis) {
    long last = lengthMillis - RECOVERY_END_MILLIS;
    List<PlannedFault> faults =
        new ArrayList<>(CrashSeriesFaults.draw(seed, QUIET_START_MILLIS, last));
    faults.addAll(OddEntryFaults.draw(seed, QUIET_START_MILLIS, last));
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new FaultPlan(seed, lengthMillis, faults);
  }

  /**
   * Draws a plan of software releases with nodes that don't see them at once, beside odd entries in
   * the tables.
   */
  public static FaultPlan drawOutOfStep(long seed, long lengthMillis, Deployment deployment) {
    long last = lastFaultMillis(lengthMillis);
    List<PlannedFault> faults =
        new ArrayList<>(OutOfStepFaults.draw(seed, QUIET_START_MILLIS, last, deployment));
    faults.addAll(OddEntryFaults.draw(seed, QUIET_START_MILLIS, last));
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new FaultPlan(seed, lengthMillis, faults);
  }

  /**
   * Draws a plan of servers that answer twice, beside some faults of nodes, links and the store.
   */
  public static FaultPlan drawSecondReplies(long seed, long lengthMillis, Deployment deployment) {
    long last = lastFaultMillis(lengthMillis);
    List<PlannedFault> faults =
        new ArrayList<>(SecondReplyFaults.draw(seed, QUIET_START_MILLIS, last, deployment));
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new FaultPlan(seed, lengthMillis, faults);
  }

  /** Draws a plan of servers that advertise rates while requests to them are delayed. */
  public static FaultPlan drawLimitedServers(long seed, long lengthMillis, Deployment deployment) {
    List<PlannedFault> faults =
        new ArrayList<>(
            LimitedServerFaults.draw(
                seed, QUIET_START_MILLIS, lastFaultMillis(lengthMillis), deployment));
    faults.sort(Comparator.comparingLong(PlannedFault::atMillis));
    return new FaultPlan(seed, lengthMillis, faults);
  }

  /** Returns the time from which a plan has no faults. */
  private static long lastFaultMillis(long lengthMillis) {
    return lengthMillis - Math.min(QUIET_END_MILLIS, lengthMillis / QUIET_END_DIVISOR);
  }

  /** Draws episodes: one fault, a series of equal faults, or several that overlap. */
  private record Drawing(SplittableRandom random, Deployment deployment) {

    long gapMillis() {
      return random.nextInt(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }

    List<PlannedFault> episode(long at) {
      return switch (random.nextInt(12)) {
        case 0, 1, 2 -> series(at);
        case 3, 4 -> rolling(at);
        case 5 -> simultaneous(at);
        case 6, 7, 8 ->
            List.of(new PlannedFault(at, singleFault()), new PlannedFault(at, singleFault()));
        default -> List.of(new PlannedFault(at, singleFault()));
      };
    }

    private List<PlannedFault> series(long at) {
      Fault fault = singleFault();
      List<PlannedFault> faults = new ArrayList<>();
      int length = random.nextInt(2, MAX_SERIES_LENGTH + 1);
      for (int step = 0; step < length; step++) {
        faults.add(new PlannedFault(at + (long) step * SERIES_STEP_MILLIS, fault));
      }
      return faults;
    }

    private List<PlannedFault> rolling(long at) {
      Fault.ProcessTrouble trouble = pick(List.of(Fault.ProcessTrouble.values()));
      long step = random.nextInt(SERIES_STEP_MILLIS, MAX_FAULT_MILLIS);
      long time = at;
      List<PlannedFault> faults = new ArrayList<>();
      for (String node : deployment.nodeNames()) {
        faults.add(new PlannedFault(time, new Fault.OnProcess(node, trouble, durationMillis())));
        time += step;
      }
      return faults;
    }

    /** Draws a change by the operator, directly followed by a fault of all nodes or all but one. */
    private List<PlannedFault> simultaneous(long at) {
      Fault.ProcessTrouble trouble = pick(List.of(Fault.ProcessTrouble.values()));
      List<PlannedFault> faults = new ArrayList<>();
      faults.add(new PlannedFault(at, operatorChange()));
      List<String> nodes = deployment.nodeNames();
      int skipped = random.nextInt(2);
      for (String node : nodes.subList(skipped, nodes.size())) {
        faults.add(new PlannedFault(at, new Fault.OnProcess(node, trouble, durationMillis())));
      }
      return faults;
    }

    /**
     * Draws new weights in more than half of all changes, since more depends on them than on any
     * other change.
     */
    private Fault operatorChange() {
      return new Fault.ByOperator(
          random.nextBoolean()
              ? Fault.OperatorChange.WEIGHTS_NAMED
              : pick(List.of(Fault.OperatorChange.values())));
    }

    private Fault singleFault() {
      return switch (random.nextInt(10)) {
        case 0, 1, 2 -> linkFault();
        case 3, 4 ->
            new Fault.OnProcess(
                pick(deployment.nodeNames()),
                pick(List.of(Fault.ProcessTrouble.values())),
                durationMillis());
        case 5 ->
            new Fault.OnProcess(
                pick(deployment.serverNames()),
                pick(List.of(Fault.ProcessTrouble.PAUSED, Fault.ProcessTrouble.KILLED)),
                durationMillis());
        case 6 -> new Fault.OnStore(pick(List.of(Fault.StoreTrouble.values())), durationMillis());
        case 7 -> new Fault.ServerReplaced(pick(deployment.serverNames()), random.nextBoolean());
        default -> operatorChange();
      };
    }

    private Fault linkFault() {
      String node = pick(deployment.nodeNames());
      Fault.LinkTrouble trouble = pick(List.of(Fault.LinkTrouble.values()));
      return switch (random.nextInt(5)) {
        case 0 -> new Fault.OnLink(Deployment.CALLERS, node, trouble, durationMillis());
        case 1 -> new Fault.OnLink(node, Deployment.STORE, trouble, durationMillis());
        case 2 -> new Fault.OnLink(node, otherNode(node), trouble, durationMillis());
        case 3 -> new Fault.OnLink(node, pick(deployment.serverNames()), trouble, durationMillis());
        default -> new Fault.OnLink(node, Deployment.ANY, trouble, durationMillis());
      };
    }

    /** Returns another node, or the same one if there is no other. */
    private String otherNode(String node) {
      List<String> others =
          deployment.nodeNames().stream().filter(name -> !name.equals(node)).toList();
      return others.isEmpty() ? node : pick(others);
    }

    private long durationMillis() {
      return random.nextInt(LONG_FAULT_ONE_IN) == 0
          ? random.nextInt(MAX_FAULT_MILLIS, MAX_LONG_FAULT_MILLIS)
          : random.nextInt(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS);
    }

    private <T> T pick(List<T> items) {
      return items.get(random.nextInt(items.size()));
    }
  }
}
