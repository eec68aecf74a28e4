package org.lockdale.soak.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.Bounds;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RuleBreak;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.Fault;
import org.lockdale.soak.plan.FaultPlan;
import org.lockdale.soak.plan.PlannedFault;
import org.lockdale.soak.standin.Addresses;
import org.lockdale.soak.standin.StallDetector;
import org.lockdale.soak.standin.StandardStreams;

/** One run: a deployment with traffic, the faults of a plan, and continuous checks of the rules. */
public final class SoakRun {

  /** Retries beyond the ratio; few, since a run sends only about 40 requests per second. */
  private static final int RETRY_SLACK = 12;

  private static final int CALLERS_PER_NODE = 6;

  /** Callers that wait for long responses, in plans that cut nodes off from the servers. */
  private static final int WAITING_CALLERS_PER_NODE = 4;

  /** Callers that use replaced keys, in plans in which the store refuses nodes. */
  private static final int REVOKED_CALLERS_PER_NODE = 2;

  /** Callers that ask for resumable streams, in plans in which all nodes are killed. */
  private static final int RESUMING_CALLERS_PER_NODE = 3;

  /** Callers that repeat one request, in plans in which all engines are killed. */
  private static final int REPEATING_CALLERS_PER_NODE = 3;

  /** Callers that repeat failed requests under the same id, in plans with second replies. */
  private static final int SAME_ID_CALLERS_PER_NODE = 4;

  private static final long CHECK_MILLIS = 1_000;
  private static final long START_TIMEOUT_MILLIS = 60_000;

  /** Time after the last request until all its notes have arrived and the checks apply to them. */
  private static final long SETTLE_MILLIS = 3_000;

  /** Bounds that runs are checked against. */
  static final Bounds BOUNDS = Bounds.standard().withRetrySlack(RETRY_SLACK);

  private final FaultPlan plan;
  private final Deployment deployment;
  private final Path root;
  private final Path directory;
  private final Map<String, String> boundOverrides;
  private final @Nullable Path previousRoot;
  private final int slowCallers;

  /**
   * Creates a run.
   *
   * @param plan faults to inject, with the length of the run and the seed of the traffic
   * @param deployment processes to run
   * @param root directory of the repository, with the built gateway
   * @param directory where plan, notes, logs and result are written
   * @param boundOverrides bounds for the nodes that replace those of the checks, by their names in
   *     the deployment's settings; wrong ones show that the checks detect the violations
   * @param previousRoot repository directory of a previous build to run beside the current one, or
   *     null for none
   * @param slowCallers callers that read slowly, in addition to the others
   */
  public SoakRun(
      FaultPlan plan,
      Deployment deployment,
      Path root,
      Path directory,
      Map<String, String> boundOverrides,
      @Nullable Path previousRoot,
      int slowCallers) {
    this.plan = plan;
    this.deployment = deployment;
    this.root = root;
    this.directory = directory;
    this.boundOverrides = Map.copyOf(boundOverrides);
    this.previousRoot = previousRoot;
    this.slowCallers = slowCallers;
  }

  /** Runs the plan, stops at the first rule violation, and returns the result. */
  public SoakResult run() throws IOException, InterruptedException {
    Files.createDirectories(directory);
    new PlanFile(plan, deployment).write(directory.resolve(PlanFile.NAME));
    try (NoteLog notes = new NoteLog(BOUNDS, directory.resolve("notes.jsonl"));
        Processes processes =
            new Processes(
                deployment, NodeBuilds.read(root, previousRoot), settings(), directory, notes)) {
      Thread cleanup = new Thread(processes::close, "cleaning");
      Runtime.getRuntime().addShutdownHook(cleanup);
      try {
        return run(notes, processes);
      } finally {
        processes.close();
        Runtime.getRuntime().removeShutdownHook(cleanup);
      }
    }
  }

  private SoakResult run(NoteLog notes, Processes processes)
      throws IOException, InterruptedException {
    processes.startStore();
    Operator operator =
        new Operator(
            notes,
            processes.store(),
            Addresses.format(
                processes.proxiedAddress(Deployment.CACHE_STORE, Addresses.SERVICE_PORT)));
    operator.writeInitialState();
    processes.startCacheStore();
    for (String server : deployment.serverNames()) {
      processes.startServer(server, operator.targetVersion());
    }
    for (String node : deployment.nodeNames()) {
      processes.startNode(node);
    }
    try (LoadBalancer loadBalancer = new LoadBalancer(processes, deployment.nodeNames());
        StallDetector watch = new StallDetector(notes::recordMachineStall)) {
      await(loadBalancer::allReady);
      deployment
          .nodeNames()
          .forEach(node -> notes.recordDisruptionEnd(notes.recordDisruptionStart(node, false)));
      return runPlan(notes, processes, operator, loadBalancer);
    }
  }

  private SoakResult runPlan(
      NoteLog notes, Processes processes, Operator operator, LoadBalancer loadBalancer)
      throws InterruptedException, IOException {
    int number = CALLERS_PER_NODE * deployment.nodes();
    try (Callers callers =
            new Callers(
                number,
                slowCallers,
                waitingCallers(),
                revokedCallers(),
                resumingCallers(),
                repeatingCallers(),
                plan.seed(),
                loadBalancer,
                operator,
                notes);
        FaultInjector injector = new FaultInjector(processes, operator, notes, deployment)) {
      callers.startSameIdCallers(sameIdCallers());
      long start = StandardStreams.nowMillis();
      long end = start + plan.lengthMillis();
      long nextCheck = start + CHECK_MILLIS;
      List<RuleBreak> violations = List.of();
      int next = 0;
      for (long now = start; now < end && violations.isEmpty(); now = StandardStreams.nowMillis()) {
        while (next < plan.faults().size() && start + plan.faults().get(next).atMillis() <= now) {
          PlannedFault due = plan.faults().get(next++);
          injector.inject(due.fault());
        }
        if (now >= nextCheck) {
          violations = findViolations(notes, processes);
          nextCheck = StandardStreams.nowMillis() + CHECK_MILLIS;
        }
        Thread.sleep(10);
      }
      callers.close();
      if (violations.isEmpty()) {
        callers.stop();
        Thread.sleep(SETTLE_MILLIS);
        // Ends no disruption; its time shows that earlier events have been fully recorded.
        notes.add(new Note.DisruptionEnded(StandardStreams.nowMillis(), 0));
        violations = findViolations(notes, processes);
      }
      SoakResult result = result(next, callers.counts(), processes, notes, violations);
      Files.writeString(directory.resolve("result.txt"), result.text());
      return result;
    }
  }

  private SoakResult result(
      int injected,
      Callers.Counts counts,
      Processes processes,
      NoteLog notes,
      List<RuleBreak> violations) {
    return new SoakResult(
        plan.seed(),
        injected,
        counts.sent.get(),
        counts.served.get(),
        counts
            + " unknown-links="
            + processes.proxy().unknownOwners()
            + " foreign-addresses="
            + processes.proxy().foreignAddresses()
            + " "
            + notes.crashCounts()
            + " "
            + notes.forwardingCounts()
            + " "
            + notes.takenUpStreams()
            + " "
            + notes.repeatedRequests()
            + " "
            + notes.secondReplies(),
        violations);
  }

  /** Returns the number of callers that wait for long responses; a former plan has none. */
  private int waitingCallers() {
    return contains(Fault.NodeCutFromServers.class)
        ? WAITING_CALLERS_PER_NODE * deployment.nodes()
        : 0;
  }

  /** Returns the number of callers that use replaced keys; a former plan has none. */
  private int revokedCallers() {
    return contains(Fault.StoreRefusesNodes.class)
        ? REVOKED_CALLERS_PER_NODE * deployment.nodes()
        : 0;
  }

  /** Returns the number of callers that ask for resumable streams; a former plan has none. */
  private int resumingCallers() {
    return contains(Fault.AllNodesKilled.class) || contains(Fault.SoftwareReleased.class)
        ? RESUMING_CALLERS_PER_NODE * deployment.nodes()
        : 0;
  }

  /** Returns the number of callers that repeat one request; a former plan has none. */
  private int repeatingCallers() {
    return contains(Fault.AllEnginesKilled.class)
        ? REPEATING_CALLERS_PER_NODE * deployment.nodes()
        : 0;
  }

  /** Returns the number of callers that repeat failed requests; a former plan has none. */
  private int sameIdCallers() {
    return contains(Fault.SecondReplies.class) ? SAME_ID_CALLERS_PER_NODE * deployment.nodes() : 0;
  }

  private boolean contains(Class<? extends Fault> kind) {
    return plan.faults().stream().anyMatch(planned -> kind.isInstance(planned.fault()));
  }

  private static List<RuleBreak> findViolations(NoteLog notes, Processes processes) {
    for (ManagedProcess process : processes.processes()) {
      if (process.exitedUnexpectedly()) {
        return List.of(
            new RuleBreak(
                "FAULT",
                process.name(),
                "the process ended by itself with status " + process.exitStatus()));
      }
    }
    return notes.findViolations();
  }

  private Map<String, String> settings() {
    Map<String, String> settings = new HashMap<>(bounds());
    settings.putAll(boundOverrides);
    return settings;
  }

  private static Map<String, String> bounds() {
    return Map.of(
        "bounds.revokeMs", Long.toString(BOUNDS.revokeMillis()),
        "bounds.retryBudgetRatio", Double.toString(BOUNDS.retryRatio()),
        "bounds.retrySlack", Integer.toString(BOUNDS.retrySlack()),
        "bounds.retryWindowS", Long.toString(BOUNDS.retryWindowMillis() / 1_000),
        "bounds.versionMs", Long.toString(BOUNDS.versionMillis()),
        "bounds.leaseMs", Long.toString(BOUNDS.leaseMillis()),
        "bounds.graceS", Long.toString(FaultInjector.GRACE_MILLIS / 1_000));
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = StandardStreams.nowMillis() + START_TIMEOUT_MILLIS;
    while (!condition.getAsBoolean()) {
      if (StandardStreams.nowMillis() > end) {
        throw new IllegalStateException("not all nodes became ready in time; see their logs");
      }
      Thread.sleep(50);
    }
  }
}
