package org.lockdale.cli;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.load.LoadGenerator;
import org.lockdale.emulator.load.LoadReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Concurrent runs of the whole system under faults, judged by the history checker. */
public final class FaultsTest {

  private static final int FAULTS = 10;
  private static final double REQUESTS_PER_SECOND = 60;
  private static final double SECONDS = 10;

  /**
   * Seeds, by turns for both workloads. Others are run by {@code mvn -B verify -pl cli
   * -Dtest=FaultsTest -Dlockdale.faults.seeds=7,8}.
   */
  @DataProvider
  public Object[][] runs() {
    String[] seeds = System.getProperty("lockdale.faults.seeds", "1,2,3").split(",");
    Object[][] runs = new Object[seeds.length][];
    for (int index = 0; index < seeds.length; index++) {
      long seed = Long.parseLong(seeds[index]);
      runs[index] = new Object[] {seed, seed % 2 == 0 ? "canal-hire" : "gift-cards"};
    }
    return runs;
  }

  /** No promise is broken whatever fails; most requests are answered all the same. */
  @Test(dataProvider = "runs")
  public void promisesHoldUnderFaults(long seed, String workload) throws InterruptedException {
    Deployment deployment = Deployment.find(workload);
    try (LocalCluster cluster = LocalCluster.start(deployment, seed)) {
      FaultDriver faults = new FaultDriver(cluster, seed);
      CompletableFuture<Void> driven =
          CompletableFuture.runAsync(
              () -> {
                try {
                  faults.run(FAULTS);
                } catch (InterruptedException interrupted) {
                  throw new CompletionException(interrupted);
                }
              });
      new LoadGenerator(cluster.eventLoops(), cluster.history())
          .run(
              deployment.workload(), cluster.callerAddresses(), REQUESTS_PER_SECOND, SECONDS, seed);
      driven.join();
      for (EngineServer engine : cluster.engines()) {
        cluster
            .history()
            .add(new HistoryEvent.ForeignReuse(engine.settings().id(), engine.foreignReuses()));
      }
      LoadReport report = LoadReport.of(cluster.history().events(), deployment::priorityOf);
      assertTrue(
          report.verdict().holds(),
          "seed " + seed + " after " + faults.done() + ": " + report.verdict().violations());
      System.out.printf(
          "faults seed %d: %s, ends %s, errors %s%n",
          seed, faults.done(), report.ends(), report.errors());
      assertTrue(report.ends().getOrDefault("COMPLETE", 0) > 0);
    }
  }
}
