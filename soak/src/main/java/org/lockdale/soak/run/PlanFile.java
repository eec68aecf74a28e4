package org.lockdale.soak.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.FaultPlan;
import org.lockdale.soak.plan.PlannedFault;
import org.lockdale.soak.standin.StandardStreams;

/**
 * A fault plan and its deployment, as stored in a file of JSON lines: first the seed, the length
 * and the deployment, then a line for each fault. A stored plan stays the same even if a later
 * version of the code draws other faults from its seed.
 *
 * @param plan faults of the run, with its seed and length
 * @param deployment processes for which the plan was drawn
 */
record PlanFile(FaultPlan plan, Deployment deployment) {

  /** Name of the plan's file in the directory of a run. */
  static final String NAME = "plan.jsonl";

  private record Head(long seed, long lengthMillis, Deployment deployment) {}

  /** Reads a plan from a file. */
  static PlanFile read(Path path) throws IOException {
    List<String> lines = Files.readAllLines(path);
    Head head = StandardStreams.parse(lines.get(0), Head.class);
    List<PlannedFault> faults =
        lines.stream()
            .skip(1)
            .map(line -> StandardStreams.parse(line, PlannedFault.class))
            .toList();
    return new PlanFile(new FaultPlan(head.seed(), head.lengthMillis(), faults), head.deployment());
  }

  /** Writes the plan to a file. */
  void write(Path path) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add(StandardStreams.json(new Head(plan.seed(), plan.lengthMillis(), deployment)));
    plan.faults().forEach(fault -> lines.add(StandardStreams.json(fault)));
    Files.write(path, lines);
  }
}
