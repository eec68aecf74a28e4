package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.UnaryOperator;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.router.engine.EngineView;
import org.testng.annotations.Test;

/**
 * Checks the outcome of a request without an idempotency key whose first attempt may have run and
 * whose second attempt cannot start.
 */
public final class OutcomeAfterRetryTest {

  private static final String HEADERS =
      "authorization: Bearer key-sm-malls\r\ncontent-type: application/json\r\n";
  private static final String BODY =
      "{\"model\":\"gift-llm\",\"max_tokens\":300,\"messages\":[{\"role\":\"user\",\"content\":"
          + "\"draft a letter\"}]}";

  /** The outcome is {@code unknown} rather than {@code not_run}, because the first attempt ran. */
  @Test
  public void anEarlierAttemptCounts() throws IOException, InterruptedException {
    Deployment deployment =
        Deployment.find("gift-cards")
            .withEngines(List.of("pasig-a"), List.of(2), UnaryOperator.identity());
    try (LocalCluster cluster = LocalCluster.start(deployment, 1)) {
      EngineServer engine = cluster.engines().get(0);
      cluster.engines().get(1).drain();
      ProcessCluster.await(
          "the node knows that the other engine is draining", () -> seesDrainingEngine(cluster));
      try (RawHttp http = new RawHttp(cluster.callerAddresses().get(0))) {
        http.post("/v1/chat/completions", HEADERS, BODY);
        ProcessCluster.await("the engine runs the request", () -> engine.activeAttempts() == 1);
        engine.crash();
        String reply = http.readAll();
        assertTrue(reply.startsWith("http/1.1 503"), reply);
        assertTrue(reply.contains("x-lockdale-outcome: unknown"), reply);
        assertTrue(reply.contains("\"outcome\":\"unknown\""), reply);
      }
      long runs =
          cluster.history().events().stream()
              .filter(event -> event instanceof HistoryEvent.Run)
              .count();
      assertEquals(runs, 1);
    }
  }

  private static boolean seesDrainingEngine(LocalCluster cluster) {
    return cluster.nodes().get(0).blackboard().engines().value().engines().stream()
        .anyMatch(EngineView::leaving);
  }
}
