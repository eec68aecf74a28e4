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
import org.lockdale.soak.judge.Judge;
import org.lockdale.soak.judge.RuleBreak;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.FaultPlan;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs seeds one after the other until the time is up or a rule is broken. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs gateway nodes under random faults and judges what callers and servers saw.")
public final class SoakCommand implements Callable<Integer> {

  private static final int BROKEN = 1;

  @Option(names = "--minutes", defaultValue = "10", description = "Time for all seeds.")
  private double minutes;

  @Option(names = "--seed", description = "First seed; by default drawn from the clock.")
  private Long seed;

  @Option(names = "--seconds", defaultValue = "60", description = "Length of each seed's run.")
  private long seconds;

  @Option(names = "--seeds", defaultValue = "1000000", description = "Most seeds.")
  private int seeds;

  @Option(names = "--nodes", defaultValue = "3", description = "Gateway nodes.")
  private int nodes;

  @Option(names = "--engines", defaultValue = "3", description = "Model servers.")
  private int engines;

  @Option(names = "--go-on", description = "Goes on with the next seed after a break.")
  private boolean goOn;

  @Option(
      names = "--tell",
      description = "A wrong bound for the nodes, such as bounds.versionMs=60000.")
  private Map<String, String> told = new HashMap<>();

  @Option(
      names = "--former",
      description = "Root of a former build, which runs beside the present one.")
  private @Nullable Path former;

  @Option(names = "--plan", description = "Plays a kept plan.jsonl, whatever its seed draws now.")
  private @Nullable Path planFile;

  @Option(names = "--judge", description = "Judges a kept notes.jsonl again and runs nothing.")
  private @Nullable Path kept;

  @Option(names = "--directory", defaultValue = "target/soak", description = "For logs.")
  private Path directory;

  /** Runs the command line. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new SoakCommand()).execute(arguments));
  }

  @Override
  public Integer call() throws Exception {
    if (kept != null) {
      return judgeKept(kept);
    }
    if (planFile != null) {
      PlanFile read = PlanFile.read(planFile);
      String name = planFile.getFileName().toString().replace(".jsonl", "");
      return play(read.plan(), read.deployment(), name) ? 0 : BROKEN;
    }
    long first = seed == null ? System.currentTimeMillis() : seed;
    long end = System.nanoTime() + Duration.ofMillis((long) (minutes * 60_000)).toNanos();
    Deployment deployment = new Deployment(nodes, engines, 1);
    int broken = 0;
    for (int index = 0; index < seeds && System.nanoTime() < end; index++) {
      long drawn = first + index;
      FaultPlan plan = FaultPlan.draw(drawn, seconds * 1_000, deployment);
      if (!play(plan, deployment, "seed-" + drawn)) {
        broken++;
        if (!goOn) {
          return BROKEN;
        }
      }
    }
    return broken > 0 ? BROKEN : 0;
  }

  private static int judgeKept(Path notes) throws IOException {
    History history = NoteLog.read(SoakRun.BOUNDS, notes);
    List<RuleBreak> breaks = Judge.breaks(history);
    System.out.println(CrashCounts.of(history));
    breaks.forEach(System.out::println);
    return breaks.isEmpty() ? 0 : BROKEN;
  }

  /** Plays a plan and returns whether no rule was broken. */
  private boolean play(FaultPlan plan, Deployment deployment, String name)
      throws IOException, InterruptedException {
    Path place = directory.toAbsolutePath().resolve(name);
    SoakResult result =
        new SoakRun(plan, deployment, Path.of("").toAbsolutePath(), place, told, former).run();
    System.out.print(result.text());
    if (result.breaks().isEmpty()) {
      return true;
    }
    System.out.println("kept: " + place);
    return false;
  }
}
