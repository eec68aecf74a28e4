package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.history.HistoryEvent.CallEnd;
import org.lockdale.emulator.load.GiftCardWorkload;
import org.lockdale.emulator.load.LoadGenerator;
import org.lockdale.emulator.load.PlannedRequest;
import org.lockdale.emulator.platform.PlatformFaults;
import org.lockdale.router.blackboard.NodePhase;
import org.lockdale.router.node.RouterNode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that a planned stop finishes open streams, and that a node can restart without the
 * platform.
 */
public final class PlannedStopTest {

  private static final int STREAMS = 40;
  private static final int TOKENS = 60;

  private LocalCluster cluster;

  /** Starts a deployment. */
  @BeforeMethod
  public void start() throws InterruptedException {
    cluster = LocalCluster.start(Deployment.find("gift-cards"), 1);
  }

  /** Stops it. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    cluster.close();
  }

  private CompletableFuture<HistoryEvent.Call> send(int node, int number, int tokens) {
    PlannedRequest request =
        new PlannedRequest(
            "sm-malls",
            "key-sm-malls",
            GiftCardWorkload.MODEL,
            "dispute-draft",
            Map.of("service", "dispute-draft"),
            "shared rules",
            "request " + number,
            tokens,
            true,
            null);
    return new LoadGenerator(cluster.eventLoops(), cluster.history())
        .send(request, number, cluster.callerAddresses().get(node));
  }

  /** Open streams complete, new requests are rejected as not run, and then the node stops. */
  @Test
  public void aPlannedStopCutsOffNothing() throws InterruptedException, IOException {
    RouterNode node = cluster.nodes().get(1);
    List<CompletableFuture<HistoryEvent.Call>> open = new ArrayList<>();
    for (int number = 0; number < STREAMS; number++) {
      open.add(send(1, number, TOKENS));
    }
    ProcessCluster.await("all streams are open", () -> node.requestsInFlight() == STREAMS);
    CompletableFuture<Void> stopped = node.stop();
    try (RawHttp late = new RawHttp(node.callerAddress())) {
      String reply = late.post("/v1/chat/completions", "", "{}").readAll();
      assertTrue(reply.startsWith("http/1.1 503"), reply);
      assertTrue(reply.contains("\"code\":\"stopping\""), reply);
      assertTrue(reply.contains("\"outcome\":\"not_run\""), reply);
      assertTrue(reply.contains("retry-after: "), reply);
    }
    assertFalse(stopped.isDone(), "the node did not wait for its streams");
    for (CompletableFuture<HistoryEvent.Call> call : open) {
      assertEquals(call.join().end(), CallEnd.COMPLETE);
    }
    stopped.join();
  }

  /** A node that restarts while the platform is down gets its state from its peers and serves. */
  @Test
  public void aRestartedNodeServesWithoutThePlatform() throws InterruptedException {
    cluster.platform().setFaults(new PlatformFaults(true, 0, 0, 0, 1_000));
    cluster.killNode(2);
    cluster.restartNode(2);
    RouterNode node = cluster.nodes().get(2);
    ProcessCluster.await(
        "the node serves", () -> node.blackboard().phase().value() == NodePhase.SERVING);
    ProcessCluster.await(
        "an engine has reported",
        () ->
            node.blackboard().engines().value().engines().stream()
                .anyMatch(engine -> !engine.incarnation().isEmpty()));
    assertEquals(send(2, 1, TOKENS).join().end(), CallEnd.COMPLETE);
  }
}
