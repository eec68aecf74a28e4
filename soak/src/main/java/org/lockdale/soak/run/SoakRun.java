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
import org.lockdale.soak.plan.FaultPlan;
import org.lockdale.soak.plan.PlannedFault;
import org.lockdale.soak.standin.Addresses;
import org.lockdale.soak.standin.StallWatch;
import org.lockdale.soak.standin.StandardStreams;

/** One run: a deployment, traffic, the faults of a plan, and the judge beside them. */
public final class SoakRun {

  /** Free repeated sends of a run; small, since a run sends only some 40 requests a second. */
  private static final int RETRY_SLACK = 12;

  private static final int CALLERS_OF_EACH_NODE = 6;
  private static final long CHECK_MILLIS = 1_000;
  private static final long START_MILLIS = 60_000;

  /** Time after the last request until all notes of it have come and weigh with the judge. */
  private static final long SETTLE_MILLIS = 3_000;

  /** Bounds that runs are judged by. */
  static final Bounds BOUNDS = Bounds.standard().withRetrySlack(RETRY_SLACK);

  private final FaultPlan plan;
  private final Deployment deployment;
  private final Path root;
  private final Path directory;
  private final Map<String, String> told;
  private final @Nullable Path former;

  /**
   * Creates a run.
   *
   * @param told bounds that the nodes are told in place of the judge's, by their names in the
   *     deployment's settings; with wrong ones a run shows that the judge catches what follows
   * @param root directory of the repository, with the built gateway
   * @param directory where plan, notes and logs are written
   * @param former directory of a former build that runs beside the present one, or null for none
   */
  public SoakRun(
      FaultPlan plan,
      Deployment deployment,
      Path root,
      Path directory,
      Map<String, String> told,
      @Nullable Path former) {
    this.plan = plan;
    this.deployment = deployment;
    this.root = root;
    this.directory = directory;
    this.told = Map.copyOf(told);
    this.former = former;
  }

  /** Runs the plan and returns what was broken; stops at the first break. */
  public SoakResult run() throws IOException, InterruptedException {
    Files.createDirectories(directory);
    new PlanFile(plan, deployment).write(directory.resolve(PlanFile.NAME));
    try (NoteLog notes = new NoteLog(BOUNDS, directory.resolve("notes.jsonl"));
        Processes processes =
            new Processes(
                deployment, NodeBuilds.read(root, former), settings(), directory, notes)) {
      Thread cleaning = new Thread(processes::close, "cleaning");
      Runtime.getRuntime().addShutdownHook(cleaning);
      try {
        return run(notes, processes);
      } finally {
        processes.close();
        Runtime.getRuntime().removeShutdownHook(cleaning);
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
            Addresses.text(processes.proxied(Deployment.CACHE_STORE, Addresses.SERVICE_PORT)));
    operator.begin();
    processes.startCacheStore();
    for (String server : deployment.serverNames()) {
      processes.startServer(server, operator.weights());
    }
    for (String node : deployment.nodeNames()) {
      processes.startNode(node);
    }
    try (Entrance entrance = new Entrance(processes, deployment.nodeNames());
        StallWatch watch = new StallWatch(notes::machineStalled)) {
      await(entrance::allServe);
      deployment
          .nodeNames()
          .forEach(node -> notes.disruptionEnds(notes.disruptionBegins(node, false)));
      return play(notes, processes, operator, entrance);
    }
  }

  private SoakResult play(NoteLog notes, Processes processes, Operator operator, Entrance entrance)
      throws InterruptedException, IOException {
    int number = CALLERS_OF_EACH_NODE * deployment.nodes();
    try (Callers callers = new Callers(number, plan.seed(), entrance, operator, notes);
        FaultInjector injector =
            new FaultInjector(processes, operator, notes, deployment.nodeNames())) {
      long start = StandardStreams.nowMillis();
      long end = start + plan.lengthMillis();
      long nextCheck = start + CHECK_MILLIS;
      List<RuleBreak> breaks = List.of();
      int next = 0;
      for (long now = start; now < end && breaks.isEmpty(); now = StandardStreams.nowMillis()) {
        while (next < plan.faults().size() && start + plan.faults().get(next).atMillis() <= now) {
          PlannedFault due = plan.faults().get(next++);
          injector.inject(due.fault());
        }
        if (now >= nextCheck) {
          breaks = breaks(notes, processes);
          nextCheck = StandardStreams.nowMillis() + CHECK_MILLIS;
        }
        Thread.sleep(10);
      }
      callers.close();
      if (breaks.isEmpty()) {
        callers.stop();
        Thread.sleep(SETTLE_MILLIS);
        notes.add(new Note.DisruptionEnded(StandardStreams.nowMillis(), 0));
        breaks = breaks(notes, processes);
      }
      SoakResult result =
          new SoakResult(
              plan.seed(),
              next,
              callers.counts().sent.get(),
              callers.counts().served.get(),
              callers.counts()
                  + " unknown-links="
                  + processes.proxy().unknownOwners()
                  + " "
                  + notes.crashCounts(),
              breaks);
      Files.writeString(directory.resolve("result.txt"), result.text());
      return result;
    }
  }

  private static List<RuleBreak> breaks(NoteLog notes, Processes processes) {
    for (ManagedProcess process : processes.running()) {
      if (process.endedByItself()) {
        return List.of(
            new RuleBreak(
                "FAULT",
                process.name(),
                "the process ended by itself with status " + process.exitStatus()));
      }
    }
    return notes.breaks();
  }

  private Map<String, String> settings() {
    Map<String, String> settings = new HashMap<>(bounds());
    settings.putAll(told);
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
    long end = StandardStreams.nowMillis() + START_MILLIS;
    while (!condition.getAsBoolean()) {
      if (StandardStreams.nowMillis() > end) {
        throw new IllegalStateException("the nodes don't serve; see their logs");
      }
      Thread.sleep(50);
    }
  }
}
