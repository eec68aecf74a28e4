package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.load.GiftCardWorkload;
import org.lockdale.emulator.load.LoadGenerator;
import org.lockdale.emulator.load.LoadReport;
import org.testng.annotations.Test;

/** Rolls out new weights to one engine after the other under load. */
public final class WeightsRolloutTest {

  private static final double SECONDS = 8;

  /**
   * Every request completes and no cached block of the old weights is used, although the stand-in
   * engines keep the old blocks in their caches.
   */
  @Test
  public void rollingOutNewWeights() throws InterruptedException {
    Deployment deployment = Deployment.find("gift-cards");
    try (LocalCluster cluster = LocalCluster.start(deployment, 1)) {
      CompletableFuture<Void> rollout = CompletableFuture.runAsync(() -> rollOut(cluster));
      new LoadGenerator(cluster.eventLoops(), cluster.history())
          .run(deployment.workload(), cluster.callerAddresses(), 60, SECONDS, 1);
      rollout.join();
      long foreign = cluster.engines().stream().mapToLong(EngineServer::foreignReuses).sum();
      assertEquals(foreign, 0, "blocks of older weights were used");
      LoadReport report = LoadReport.of(cluster.history().events(), deployment::priorityOf);
      assertTrue(report.verdict().passed(), report.verdict().violations().toString());
      assertEquals(
          report.ends().get(HistoryEvent.CallEnd.COMPLETE.name()),
          Integer.valueOf(report.requests()),
          report.errors().toString());
    }
  }

  private static void rollOut(LocalCluster cluster) {
    for (EngineServer engine : cluster.engines()) {
      try {
        TimeUnit.MILLISECONDS.sleep(400);
      } catch (InterruptedException interrupted) {
        throw new CompletionException(interrupted);
      }
      engine.loadWeights(GiftCardWorkload.MODEL, "2026-12");
    }
  }
}
