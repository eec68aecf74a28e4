package org.lockdale.soak.run;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.CrashCounts;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.judge.RepeatedRequestCounts;
import org.lockdale.soak.judge.RuleBreak;
import org.lockdale.soak.judge.RuleChecker;
import org.lockdale.soak.judge.SecondReplyCounts;
import org.lockdale.soak.judge.TakenUpStreams;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.FaultPlan;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one seed after another until the time is up or a rule is violated. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs gateway nodes under random faults and checks what callers and servers saw.")
public final class SoakCommand implements Callable<Integer> {

  private static final int VIOLATION_STATUS = 1;

  @Option(names = "--minutes", defaultValue = "10", description = "Time for all seeds.")
  private double minutes;

  @Option(names = "--seed", description = "First seed; by default taken from the clock.")
  private Long seed;

  @Option(names = "--seconds", defaultValue = "60", description = "Length of each seed's run.")
  private long seconds;

  @Option(names = "--seeds", defaultValue = "1000000", description = "Maximum number of seeds.")
  private int seeds;

  @Option(names = "--nodes", defaultValue = "3", description = "Gateway nodes.")
  private int nodes;

  @Option(names = "--engines", defaultValue = "3", description = "Model servers.")
  private int engines;

  @Option(
      names = "--slow-callers",
      defaultValue = "0",
      description = "Further callers that read large responses slowly or not at all.")
  private int slowCallers;

  @Option(
      names = "--fleet-restarts",
      description = "Injects only software releases and kills of all nodes.")
  private boolean fleetRestartsOnly;

  @Option(
      names = "--service-crashes",
      description = "Injects kills of all engines at one moment, and few other faults.")
  private boolean serviceCrashesOnly;

  @Option(
      names = "--crash-series",
      description = "Injects only kills of all engines, several in a row, and odd entries.")
  private boolean crashSeriesOnly;

  @Option(
      names = "--out-of-step",
      description =
          "Injects only software releases beside a node that is cut off, and odd entries.")
  private boolean outOfStepOnly;

  @Option(
      names = "--second-replies",
      description =
          "Injects servers that answer twice, the second time late, beside faults of nodes, links and"
              + " the store.")
  private boolean secondRepliesOnly;

  @Option(
      names = "--limited-servers",
      description = "Only servers that advertise rates, and what delays requests to them.")
  private boolean limitedServersOnly;

  @Option(names = "--go-on", description = "Continues with the next seed after a rule violation.")
  private boolean continueOnViolation;

  @Option(
      names = "--tell",
      description = "A wrong bound for the nodes, such as bounds.versionMs=60000.")
  private Map<String, String> boundOverrides = new HashMap<>();

  @Option(
      names = "--former",
      description = "Root of a previous build to run beside the current one.")
  private @Nullable Path previousRoot;

  @Option(
      names = "--plan",
      description = "Runs a recorded plan.jsonl, whatever its seed draws now.")
  private @Nullable Path planFile;

  @Option(names = "--judge", description = "Checks a recorded notes.jsonl again and runs nothing.")
  private @Nullable Path recordedNotes;

  @Option(
      names = "--directory",
      defaultValue = "target/soak",
      description = "Directory for plans, notes, logs and results.")
  private Path directory;

  /** Runs the command line and exits with 0, or with 1 after a rule violation. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new SoakCommand()).execute(arguments));
  }

  @Override
  public Integer call() throws Exception {
    if (recordedNotes != null) {
      return checkRecordedEvents(recordedNotes);
    }
    if (planFile != null) {
      PlanFile read = PlanFile.read(planFile);
      String name = planFile.getFileName().toString().replace(".jsonl", "");
      return runPlan(read.plan(), read.deployment(), name) ? 0 : VIOLATION_STATUS;
    }
    long first = seed == null ? System.currentTimeMillis() : seed;
    long end = System.nanoTime() + Duration.ofMillis((long) (minutes * 60_000)).toNanos();
    Deployment deployment = new Deployment(nodes, engines, 1);
    int violated = 0;
    for (int index = 0; index < seeds && System.nanoTime() < end; index++) {
      long planSeed = first + index;
      if (!runPlan(draw(planSeed, deployment), deployment, "seed-" + planSeed)) {
        violated++;
        if (!continueOnViolation) {
          return VIOLATION_STATUS;
        }
      }
    }
    return violated > 0 ? VIOLATION_STATUS : 0;
  }

  private FaultPlan draw(long planSeed, Deployment deployment) {
    long lengthMillis = seconds * 1_000;
    if (fleetRestartsOnly) {
      return FaultPlan.drawFleetRestarts(planSeed, lengthMillis, deployment);
    }
    if (crashSeriesOnly) {
      return FaultPlan.drawCrashSeries(planSeed, lengthMillis);
    }
    if (outOfStepOnly) {
      return FaultPlan.drawOutOfStep(planSeed, lengthMillis, deployment);
    }
    if (limitedServersOnly) {
      return FaultPlan.drawLimitedServers(planSeed, lengthMillis, deployment);
    }
    if (secondRepliesOnly) {
      return FaultPlan.drawSecondReplies(planSeed, lengthMillis, deployment);
    }
    return serviceCrashesOnly
        ? FaultPlan.drawServiceCrashes(planSeed, lengthMillis, deployment)
        : FaultPlan.draw(planSeed, lengthMillis, deployment);
  }

  private static int checkRecordedEvents(Path notes) throws IOException {
    History history = NoteLog.read(SoakRun.BOUNDS, notes);
    List<RuleBreak> violations = RuleChecker.check(history);
    System.out.println(CrashCounts.of(history) + " " + TakenUpStreams.of(history));
    System.out.println(RepeatedRequestCounts.of(history) + " " + SecondReplyCounts.of(history));
    violations.forEach(System.out::println);
    return violations.isEmpty() ? 0 : VIOLATION_STATUS;
  }

  /** Runs a plan, prints its result, and returns whether no rule was violated. */
  private boolean runPlan(FaultPlan plan, Deployment deployment, String name)
      throws IOException, InterruptedException {
    Path runDirectory = directory.toAbsolutePath().resolve(name);
    SoakResult result =
        new SoakRun(
                plan,
                deployment,
                Path.of("").toAbsolutePath(),
                runDirectory,
                boundOverrides,
                previousRoot,
                slowCallers)
            .run();
    System.out.print(result.text());
    if (result.breaks().isEmpty()) {
      return true;
    }
    System.out.println("kept: " + runDirectory);
    return false;
  }
}
