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

/** Runs the complete system under load and faults and checks the recorded history. */
public final class FaultsTest {

  private static final int FAULTS = 10;
  private static final double REQUESTS_PER_SECOND = 60;
  private static final double SECONDS = 10;

  /**
   * Returns seeds with their workloads: canal-hire for even seeds, gift-cards for odd ones. Other
   * seeds are run by {@code mvn -B verify -pl cli -Dtest=FaultsTest -Dlockdale.faults.seeds=7,8}.
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

  /** No guarantee is violated under faults, and some requests complete. */
  @Test(dataProvider = "runs")
  public void promisesHoldUnderFaults(long seed, String workload) throws InterruptedException {
    Deployment deployment = Deployment.find(workload);
    try (LocalCluster cluster = LocalCluster.start(deployment, seed)) {
      FaultInjector injector = new FaultInjector(cluster, seed);
      CompletableFuture<Void> injection =
          CompletableFuture.runAsync(
              () -> {
                try {
                  injector.run(FAULTS);
                } catch (InterruptedException interrupted) {
                  throw new CompletionException(interrupted);
                }
              });
      new LoadGenerator(cluster.eventLoops(), cluster.history())
          .run(
              deployment.workload(), cluster.callerAddresses(), REQUESTS_PER_SECOND, SECONDS, seed);
      injection.join();
      for (EngineServer engine : cluster.engines()) {
        cluster
            .history()
            .add(new HistoryEvent.ForeignReuse(engine.settings().id(), engine.foreignReuses()));
      }
      LoadReport report = LoadReport.of(cluster.history().events(), deployment::priorityOf);
      assertTrue(
          report.verdict().passed(),
          "seed "
              + seed
              + " after "
              + injector.injectedFaults()
              + ": "
              + report.verdict().violations());
      System.out.printf(
          "faults seed %d: %s, ends %s, errors %s%n",
          seed, injector.injectedFaults(), report.ends(), report.errors());
      assertTrue(report.ends().getOrDefault("COMPLETE", 0) > 0);
    }
  }
}
