package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.UnaryOperator;
import org.lockdale.coordination.placement.PromptText;
import org.lockdale.emulator.engine.AnswerText;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.platform.PlatformFaults;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What callers are told of requests with an idempotency key, and what truly ran. */
public final class RunOnceTest {

  private static final int LONG = 60;

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

  private String ask(int node, String key, String prompt, int tokens) throws IOException {
    try (RawHttp http = send(node, key, prompt, tokens)) {
      return http.readAll();
    }
  }

  private static long digest(String prompt) {
    return AnswerText.digest(new PromptText().message("user", prompt).toBytes());
  }

  private long runsOf(String prompt) {
    return cluster.history().events().stream()
        .filter(event -> event instanceof HistoryEvent.Run)
        .filter(event -> ((HistoryEvent.Run) event).promptDigest() == digest(prompt))
        .count();
  }

  private void awaitRunning() throws InterruptedException {
    ProcessCluster.await(
        "an engine runs it",
        () -> cluster.engines().stream().anyMatch(engine -> engine.activeAttempts() > 0));
  }

  /** A repeat gets the stored answer, at any node, and nothing runs again. */
  @Test
  public void aRepeatGetsTheStoredAnswer() throws IOException, InterruptedException {
    String first = ask(0, "k1", "redeem one", 4);
    assertTrue(first.contains(AnswerText.whole(digest("redeem one"), 4)), first);
    ProcessCluster.await(
        "the answer is stored", () -> answersLike(1, "k1", "redeem one", 4, "http/1.1 200"));
    assertEquals(runsOf("redeem one"), 1);
  }

  private boolean answersLike(int node, String key, String prompt, int tokens, String start) {
    try {
      return ask(node, key, prompt, tokens).startsWith(start);
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }

  /** The key of one request can't be used for another. */
  @Test
  public void aKeyIsForOneBody() throws IOException {
    ask(0, "k2", "redeem two", 4);
    String reply = ask(1, "k2", "redeem three", 4);
    assertTrue(reply.startsWith("http/1.1 422"), reply);
    assertTrue(reply.contains("idempotency_key_reused"), reply);
    assertEquals(runsOf("redeem three"), 0);
  }

  /** An engine that dies in the middle: the outcome is unknown, and stays so for repeats. */
  @Test
  public void anEngineThatDiesLeavesTheOutcomeUnknown() throws IOException, InterruptedException {
    try (RawHttp http = send(0, "k3", "redeem four", LONG)) {
      awaitRunning();
      cluster.engines().forEach(EngineServer::crash);
      String reply = http.readAll();
      assertTrue(reply.startsWith("http/1.1 502"), reply);
      assertTrue(reply.contains("\"outcome\":\"unknown\""), reply);
    }
    ProcessCluster.await(
        "a repeat is told that the outcome is unknown",
        () -> answersLike(1, "k3", "redeem four", LONG, "http/1.1 409"));
    assertTrue(ask(0, "k3", "redeem four", LONG).contains("outcome_unknown"));
    assertEquals(runsOf("redeem four"), 1);
  }

  /** While the table service is down nothing runs, and the same key works once it is back. */
  @Test
  public void anOutageOfTheClaimsIsNotRun() throws IOException, InterruptedException {
    cluster.platform().setFaults(new PlatformFaults(true, 0, 0, 0, 1_000));
    String refused = ask(0, "k4", "redeem five", 4);
    assertTrue(refused.startsWith("http/1.1 503"), refused);
    assertTrue(refused.contains("claim_store_unavailable"), refused);
    assertTrue(refused.contains("\"outcome\":\"not_run\""), refused);
    assertTrue(refused.contains("retry-after: "), refused);
    assertEquals(runsOf("redeem five"), 0);
    cluster.platform().setFaults(PlatformFaults.NONE);
    ProcessCluster.await(
        "the same key runs", () -> answersLike(0, "k4", "redeem five", 4, "http/1.1 200"));
    assertEquals(runsOf("redeem five"), 1);
  }

  /** Every reply of the platform is lost: nothing runs that the caller is told did not run. */
  @Test
  public void lostRepliesRunAtMostOnce() throws IOException, InterruptedException {
    cluster.platform().setFaults(new PlatformFaults(false, 0, 1_000, 0, 1_000));
    String reply = ask(0, "k5", "redeem six", 4);
    boolean ran = reply.startsWith("http/1.1 200");
    assertEquals(runsOf("redeem six"), ran ? 1 : 0, reply);
    cluster.platform().setFaults(PlatformFaults.NONE);
    ProcessCluster.await(
        "the key is answered", () -> answersLike(1, "k5", "redeem six", 4, "http/1.1 200"));
    assertEquals(runsOf("redeem six"), 1);
  }

  /** A caller that goes away gets the answer of the one run when it asks again. */
  @Test
  public void aCallerThatLeftGetsItsAnswerLater() throws IOException, InterruptedException {
    try (RawHttp http = send(0, "k6", "redeem seven", LONG)) {
      awaitRunning();
    }
    ProcessCluster.await(
        "the answer is stored", () -> answersLike(1, "k6", "redeem seven", LONG, "http/1.1 200"));
    assertEquals(runsOf("redeem seven"), 1);
  }
}
