package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.caller.CallerRequest;

/**
 * Simulates nodes in front of servers that crash: because of guilty requests, which are sent again
 * to any node, and in waves that no request causes. Callers of innocent requests repeat them at
 * once. Datagrams are delayed and lost; the store is unavailable at times, and nodes restart or are
 * isolated from each other. Except for the request path, a node consists of the production code.
 */
final class QuarantineSimulation {

  /**
   * Time in milliseconds after the last fault after which a node must know which requests are
   * quarantined.
   */
  static final long CONVERGENCE_MILLIS = 3_000;

  private static final long RUN_MILLIS = 28_000;
  private static final long GUILTY_RUN_MICROS = 60_000;
  static final double LOST_DATAGRAMS = 0.02;
  static final long MAX_DELAY_MICROS = 20_000;
  static final int TABLE_MILLIS = 600;

  /** Time in milliseconds for which a node avoids a server that failed an attempt. */
  static final long AVOID_MILLIS = 1_000;

  /**
   * Time in milliseconds after the third crash of a request after which its sends are counted,
   * whichever node sends.
   */
  private static final long LATE_SEND_MILLIS = 1_000;

  /**
   * The result of a run.
   *
   * @param worstLateSends maximum number of sends of one request more than {@link
   *     #CONVERGENCE_MILLIS} after its third crash by nodes that were undisturbed for that time
   * @param ends crashes of servers
   * @param innocents innocent requests
   * @param refusedInnocents innocent requests that were rejected at least once
   * @param lost runs of innocent requests that were lost
   * @param sendsAfterThirdEnd sends more than {@link #LATE_SEND_MILLIS} after the third crash of
   *     their request
   * @param rowsWritten writes and removals of rows
   */
  record Result(
      int worstLateSends,
      int ends,
      int innocents,
      int refusedInnocents,
      int lost,
      int sendsAfterThirdEnd,
      int rowsWritten) {}

  final class Run {
    final SimulatedQuarantineNode node;
    final SimulatedQuarantineServer server;

    /** Id of the incarnation that, as far as the node knows, is serving. */
    final String assumed;

    private final Contents contents;
    private final CallerRequest request;
    final long startedAtMillis = time.monotonicMillis();
    final long connectedAtMillis;
    private final Optional<SuspectAttempt> recorded;
    private final int attemptsLeft;
    private boolean givenUp;

    Run(
        SimulatedQuarantineNode node,
        SimulatedQuarantineServer server,
        String assumed,
        Contents contents,
        CallerRequest request,
        int attemptsLeft) {
      this.node = node;
      this.server = server;
      this.assumed = assumed;
      this.connectedAtMillis = node.connect(server);
      this.recorded = node.quarantine.attemptStarting(request, "tenant", assumed);
      this.contents = contents;
      this.request = request;
      this.attemptsLeft = attemptsLeft;
      server.runs.add(this);
      long micros = contents.guilty ? GUILTY_RUN_MICROS : 50_000 + random.nextInt(3_000_000);
      time.schedule(micros, this::done);
      if (plan.evidence().callersLeave() > 0
          && random.nextDouble() < plan.evidence().callersLeave()) {
        time.schedule(random.nextInt((int) micros), this::giveUp);
      }
    }

    /** A server may continue for a moment after the caller has disconnected. */
    private void giveUp() {
      if (server.runs.contains(this)) {
        givenUp = true;
        recorded.ifPresent(
            attempt -> node.quarantine.attemptConcluded(attempt, AttemptOutcome.UNKNOWN));
        node.quarantine.attemptLost(
            new LostAttempt(
                assumed,
                server.address,
                request,
                "tenant",
                time.monotonicMillis() - startedAtMillis,
                LostAttempt.Loss.GIVEN_UP,
                connectedAtMillis,
                false,
                0));
        if (!contents.guilty) {
          server.runs.remove(this);
        }
      }
    }

    private void done() {
      if (!server.runs.contains(this)) {
        return;
      }
      if (contents.guilty) {
        contents.crashed(server.id);
        server.crash();
        return;
      }
      server.runs.remove(this);
      node.answered(this);
      node.quarantine.requestAnswered(request, "tenant");
      recorded.ifPresent(
          attempt -> node.quarantine.attemptConcluded(attempt, AttemptOutcome.NOT_LOST));
    }

    void lost() {
      if (givenUp) {
        return;
      }
      long responseMillis = time.monotonicMillis() - startedAtMillis;
      recorded.ifPresent(
          attempt -> node.quarantine.attemptConcluded(attempt, AttemptOutcome.REPORTED));
      if (!contents.guilty) {
        lostRuns++;
      }
      node.quarantine.attemptLost(
          new LostAttempt(
              assumed,
              server.address,
              request,
              "tenant",
              responseMillis,
              LostAttempt.Loss.CLOSED,
              connectedAtMillis,
              true,
              0));
      node.avoid(server);
      if (!contents.guilty && attemptsLeft > 0) {
        time.schedule(2_000, () -> send(contents, attemptsLeft - 1));
      }
    }
  }

  /** A request with all its attempts. */
  private final class Contents {
    private final String body;
    private final boolean guilty;
    private final Set<String> crashedServers = new HashSet<>();
    private long thirdCrashMillis = Long.MAX_VALUE / 2;
    private int lateSends;
    private int sendsAfterThirdEnd;
    private boolean rejected;

    Contents(String body, boolean guilty) {
      this.body = body;
      this.guilty = guilty;
    }

    void crashed(String server) {
      crashedServers.add(server);
      if (crashedServers.size() == 3) {
        thirdCrashMillis = time.monotonicMillis();
      }
    }

    void sent(SimulatedQuarantineNode node) {
      long now = time.monotonicMillis();
      if (now > thirdCrashMillis + LATE_SEND_MILLIS) {
        sendsAfterThirdEnd++;
      }
      if (now > thirdCrashMillis + CONVERGENCE_MILLIS && node.isUndisturbed(now)) {
        lateSends++;
      }
    }
  }

  final Random random;
  final SimulationPlan plan;
  final VirtualTime time = new VirtualTime();
  final List<SimulatedQuarantineServer> all = new ArrayList<>();
  final List<SimulatedQuarantineNode> nodes = new ArrayList<>();
  private final List<Contents> contents = new ArrayList<>();
  final Map<RequestFingerprint, Suspect> rows = new LinkedHashMap<>();
  final Set<SuspectAttempt> attemptRows = new LinkedHashSet<>();
  final Map<String, TrialClaim> trialRows = new LinkedHashMap<>();
  boolean storeDown;
  long storeDisturbedUntilMillis = -CONVERGENCE_MILLIS;
  int crashes;
  private int lostRuns;
  int rowsWritten;
  private int attempts;

  QuarantineSimulation(SimulationPlan plan, long seed) {
    this.plan = plan;
    this.random = new Random(seed);
  }

  Result run() {
    for (int index = 0; index < plan.servers(); index++) {
      all.add(new SimulatedQuarantineServer(this, index));
    }
    for (int index = 0; index < plan.nodes(); index++) {
      nodes.add(new SimulatedQuarantineNode(this, index));
    }
    for (int index = 0; index < plan.guilty(); index++) {
      Contents guilty = new Contents("guilty " + index, true);
      contents.add(guilty);
      long first = random.nextInt(4_000) * 1_000L;
      time.schedule(first, () -> repeat(guilty));
    }
    time.schedule(0, this::arrive);
    new FaultInjector(this, plan, random, time).schedule();
    time.runMillis(RUN_MILLIS);
    return result();
  }

  private Result result() {
    int worst = 0;
    int innocents = 0;
    int rejected = 0;
    int afterThirdCrash = 0;
    for (Contents each : contents) {
      afterThirdCrash += each.sendsAfterThirdEnd;
      worst = Math.max(worst, each.lateSends);
      innocents += each.guilty ? 0 : 1;
      rejected += !each.guilty && each.rejected ? 1 : 0;
    }
    return new Result(worst, crashes, innocents, rejected, lostRuns, afterThirdCrash, rowsWritten);
  }

  private void arrive() {
    Contents innocent = new Contents("innocent " + contents.size(), false);
    contents.add(innocent);
    send(innocent, plan.repeats());
    time.schedule(12_000 + random.nextInt(10_000), this::arrive);
  }

  /**
   * Sends a guilty request, in several copies at the same moment to different nodes if the plan
   * says so, and schedules the next time.
   */
  private void repeat(Contents guilty) {
    for (int copy = 0; copy < plan.copies(); copy++) {
      send(guilty, 0);
    }
    time.schedule(200_000 + random.nextInt(1_300_000), () -> repeat(guilty));
  }

  private void send(Contents what, int attemptsLeft) {
    List<SimulatedQuarantineNode> running = nodes.stream().filter(each -> !each.down).toList();
    if (running.isEmpty()) {
      return;
    }
    SimulatedQuarantineNode node = running.get(random.nextInt(running.size()));
    CallerRequest request = Requests.of("r" + ++attempts, "/path", what.body);
    if (node.quarantine.quarantined(request, "tenant").isPresent()) {
      what.rejected = true;
      return;
    }
    node.choose().ifPresent(backend -> send(node, backend, what, request, attemptsLeft));
  }

  private void send(
      SimulatedQuarantineNode node,
      Backend assumed,
      Contents what,
      CallerRequest request,
      int attemptsLeft) {
    SimulatedQuarantineServer server =
        all.stream()
            .filter(each -> each.address.equals(assumed.address()))
            .findFirst()
            .orElseThrow();
    if (!node.quarantine.mayBeSent(request, "tenant")) {
      what.rejected = true;
      return;
    }
    if (server.up) {
      what.sent(node);
      new Run(node, server, assumed.id(), what, request, attemptsLeft);
      return;
    }
    node.avoid(server);
    node.quarantine.attemptNotSent(request, "tenant");
    if (plan.evidence().addressesTaken()) {
      // The proxy that accepts connections at its address closes them.
      node.quarantine.attemptLost(
          new LostAttempt(
              assumed.id(),
              server.address,
              request,
              "tenant",
              0,
              LostAttempt.Loss.CLOSED,
              time.monotonicMillis(),
              false,
              0));
    }
    if (!what.guilty && attemptsLeft > 0) {
      time.schedule(2_000, () -> send(what, attemptsLeft - 1));
    }
  }

  void broadcast(SimulatedQuarantineNode sender, List<Suspect> suspects) {
    for (SimulatedQuarantineNode receiver : nodes) {
      boolean arrives =
          random.nextDouble() >= LOST_DATAGRAMS
              && !sender.isolated
              && !receiver.isolated
              && !receiver.down;
      if (receiver != sender && arrives) {
        Quarantine instance = receiver.quarantine;
        time.schedule(
            1_000 + random.nextInt((int) MAX_DELAY_MICROS),
            () -> {
              if (receiver.quarantine == instance) {
                instance.receive(suspects);
              }
            });
      }
    }
  }
}
