package org.lockdale.soak.run;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.FaultPlan;
import org.testng.annotations.Test;

/** Checks that plans are read as they were written. */
public final class PlanFileTest {

  private static final int SEEDS = 50;

  @Test
  public void plansOfEveryKindOfFaultAreReadAsTheyWereWritten() throws IOException {
    Path path = Files.createTempFile("plan", ".jsonl");
    try {
      for (long seed = 0; seed < SEEDS; seed++) {
        FaultPlan plan = FaultPlan.draw(seed, 60_000, Deployment.small());
        PlanFile written = new PlanFile(plan, Deployment.small());
        written.write(path);
        assertEquals(PlanFile.read(path), written);
      }
    } finally {
      Files.delete(path);
    }
  }
}
