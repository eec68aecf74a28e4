package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.UnaryOperator;
import org.lockdale.coordination.placement.PromptText;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.engine.ResponseText;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.platform.PlatformFaults;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Compares the reported outcomes of requests with an idempotency key to the recorded runs. */
public final class RunOnceTest {

  private static final int LONG_RESPONSE_TOKENS = 60;

  private LocalCluster cluster;

  /** Starts two nodes and four engines. */
  @BeforeMethod
  public void start() throws InterruptedException {
    cluster =
        LocalCluster.start(
            Deployment.find("gift-cards")
                .withEngines(
                    List.of("pasig-a", "pasig-b"), List.of(2, 2), UnaryOperator.identity()),
            1);
  }

  /** Stops everything. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    cluster.close();
  }

  private static String body(String prompt, int tokens) {
    return "{\"model\":\"gift-llm\",\"max_tokens\":"
        + tokens
        + ",\"metadata\":{\"service\":\"redemption\"},\"messages\":[{\"role\":\"user\","
        + "\"content\":\""
        + prompt
        + "\"}]}";
  }

  private RawHttp send(int node, String key, String prompt, int tokens) throws IOException {
    return new RawHttp(cluster.callerAddresses().get(node))
        .post(
            "/v1/chat/completions",
            "authorization: Bearer key-sm-malls\r\ncontent-type: application/json\r\n"
                + "idempotency-key: "
                + key
                + "\r\n",
            body(prompt, tokens));
  }

  private String sendAndReadAll(int node, String key, String prompt, int tokens)
      throws IOException {
    try (RawHttp http = send(node, key, prompt, tokens)) {
      return http.readAll();
    }
  }

  private static long digest(String prompt) {
    return ResponseText.digest(new PromptText().message("user", prompt).toBytes());
  }

  private long runsOf(String prompt) {
    return cluster.history().events().stream()
        .filter(event -> event instanceof HistoryEvent.Run)
        .filter(event -> ((HistoryEvent.Run) event).promptDigest() == digest(prompt))
        .count();
  }

  private void awaitRunning() throws InterruptedException {
    ProcessCluster.await(
        "an engine runs the request",
        () -> cluster.engines().stream().anyMatch(engine -> engine.activeAttempts() > 0));
  }

  /** A repeated request gets the stored response at any node, and the request runs only once. */
  @Test
  public void aRepeatGetsTheStoredResponse() throws IOException, InterruptedException {
    String first = sendAndReadAll(0, "k1", "redeem one", 4);
    assertTrue(first.contains(ResponseText.completeText(digest("redeem one"), 4)), first);
    ProcessCluster.await(
        "the response is stored",
        () -> responseStartsWith(1, "k1", "redeem one", 4, "http/1.1 200"));
    assertEquals(runsOf("redeem one"), 1);
  }

  private boolean responseStartsWith(
      int node, String key, String prompt, int tokens, String start) {
    try {
      return sendAndReadAll(node, key, prompt, tokens).startsWith(start);
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }

  /** A key that is reused with another body is rejected with status 422. */
  @Test
  public void aKeyIsForOneBody() throws IOException {
    sendAndReadAll(0, "k2", "redeem two", 4);
    String reply = sendAndReadAll(1, "k2", "redeem three", 4);
    assertTrue(reply.startsWith("http/1.1 422"), reply);
    assertTrue(reply.contains("idempotency_key_reused"), reply);
    assertEquals(runsOf("redeem three"), 0);
  }

  /** If the engine crashes while it runs a request, the outcome is unknown, also for repeats. */
  @Test
  public void anEngineCrashLeavesTheOutcomeUnknown() throws IOException, InterruptedException {
    try (RawHttp http = send(0, "k3", "redeem four", LONG_RESPONSE_TOKENS)) {
      awaitRunning();
      cluster.engines().forEach(EngineServer::crash);
      String reply = http.readAll();
      assertTrue(reply.startsWith("http/1.1 502"), reply);
      assertTrue(reply.contains("\"outcome\":\"unknown\""), reply);
    }
    ProcessCluster.await(
        "a repeated request gets the outcome unknown",
        () -> responseStartsWith(1, "k3", "redeem four", LONG_RESPONSE_TOKENS, "http/1.1 409"));
    assertTrue(
        sendAndReadAll(0, "k3", "redeem four", LONG_RESPONSE_TOKENS).contains("outcome_unknown"));
    assertEquals(runsOf("redeem four"), 1);
  }

  /** While the table service is down nothing runs; the same key succeeds after the outage. */
  @Test
  public void anOutageOfTheClaimsIsNotRun() throws IOException, InterruptedException {
    cluster.platform().setFaults(new PlatformFaults(true, 0, 0, 0, 1_000));
    String rejected = sendAndReadAll(0, "k4", "redeem five", 4);
    assertTrue(rejected.startsWith("http/1.1 503"), rejected);
    assertTrue(rejected.contains("claim_store_unavailable"), rejected);
    assertTrue(rejected.contains("\"outcome\":\"not_run\""), rejected);
    assertTrue(rejected.contains("retry-after: "), rejected);
    assertEquals(runsOf("redeem five"), 0);
    cluster.platform().setFaults(PlatformFaults.NONE);
    ProcessCluster.await(
        "the request with the same key runs",
        () -> responseStartsWith(0, "k4", "redeem five", 4, "http/1.1 200"));
    assertEquals(runsOf("redeem five"), 1);
  }

  /** While all responses of the platform are lost, a request without a 200 response has not run. */
  @Test
  public void lostRepliesRunAtMostOnce() throws IOException, InterruptedException {
    cluster.platform().setFaults(new PlatformFaults(false, 0, 1_000, 0, 1_000));
    String reply = sendAndReadAll(0, "k5", "redeem six", 4);
    boolean ran = reply.startsWith("http/1.1 200");
    assertEquals(runsOf("redeem six"), ran ? 1 : 0, reply);
    cluster.platform().setFaults(PlatformFaults.NONE);
    ProcessCluster.await(
        "a repeat gets the response",
        () -> responseStartsWith(1, "k5", "redeem six", 4, "http/1.1 200"));
    assertEquals(runsOf("redeem six"), 1);
  }

  /** A caller that disconnects gets the response of the only run when it repeats the request. */
  @Test
  public void aDisconnectedCallerGetsItsResponseLater() throws IOException, InterruptedException {
    try (RawHttp http = send(0, "k6", "redeem seven", LONG_RESPONSE_TOKENS)) {
      awaitRunning();
    }
    ProcessCluster.await(
        "the response is stored",
        () -> responseStartsWith(1, "k6", "redeem seven", LONG_RESPONSE_TOKENS, "http/1.1 200"));
    assertEquals(runsOf("redeem seven"), 1);
  }
}
