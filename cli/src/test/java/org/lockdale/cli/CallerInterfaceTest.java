package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import org.lockdale.emulator.engine.ResponseText;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks plain completions, the list of models, adapters and content in text parts. */
public final class CallerInterfaceTest {

  private static final String HEADERS =
      "authorization: Bearer key-sm-malls\r\ncontent-type: application/json\r\n";

  private LocalCluster cluster;

  /** Starts one node with one engine. */
  @BeforeClass
  public void start() throws InterruptedException {
    cluster =
        LocalCluster.start(
            Deployment.find("gift-cards")
                .withEngines(List.of("pasig-a"), List.of(1), UnaryOperator.identity()),
            1);
  }

  /** Stops it. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    cluster.close();
  }

  private String post(String path, String body) throws IOException {
    try (RawHttp http = new RawHttp(cluster.callerAddresses().get(0))) {
      return http.post(path, HEADERS, body).readAll();
    }
  }

  private static String expectedText(String prompt, int tokens) {
    return ResponseText.completeText(
        ResponseText.digest(prompt.getBytes(StandardCharsets.UTF_8)), tokens);
  }

  /** A plain completion returns the complete text. */
  @Test
  public void plainCompletion() throws IOException {
    String reply =
        post("/v1/completions", "{\"model\":\"gift-llm\",\"prompt\":\"one\",\"max_tokens\":3}");
    assertTrue(reply.startsWith("http/1.1 200"), reply);
    assertTrue(reply.contains("\"text\":\"" + expectedText("one", 3)), reply);
    assertTrue(reply.contains("\"object\":\"text_completion\""), reply);
  }

  /** A streamed plain completion contains all tokens and the end marker. */
  @Test
  public void plainStream() throws IOException {
    String reply =
        post(
            "/v1/completions",
            "{\"model\":\"gift-llm\",\"prompt\":\"two\",\"max_tokens\":2,\"stream\":true}");
    assertTrue(reply.contains("\"text\":\"" + ResponseText.tokenAt(digest("two"), 0)), reply);
    assertTrue(reply.contains("\"text\":\"" + ResponseText.tokenAt(digest("two"), 1)), reply);
    assertTrue(reply.contains("data: [DONE]"), reply);
  }

  private static long digest(String prompt) {
    return ResponseText.digest(prompt.getBytes(StandardCharsets.UTF_8));
  }

  /** Content in several text parts is the same prompt as their concatenation. */
  @Test
  public void textPartsAreJoined() throws IOException {
    String reply =
        post(
            "/v1/chat/completions",
            "{\"model\":\"gift-llm\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":"
                + "[{\"type\":\"text\",\"text\":\"ab\"},{\"type\":\"text\",\"text\":\"cd\"}]}]}");
    assertTrue(reply.contains("\"content\":\"" + expectedText("user\nabcd\n", 2)), reply);
  }

  /** An adapter that an operator adds is listed and served under its name. */
  @Test
  public void adaptersAreServed() throws IOException, InterruptedException {
    Path file = Files.createTempFile("adapter", ".yaml");
    try {
      Files.writeString(
          file,
          "{apiVersion: lockdale/v1, kind: Adapter, metadata: {name: disputes}, spec: {model:"
              + " gift-llm, version: '3'}}\n");
      String node = Addresses.format(cluster.nodes().get(0).operatorAddress());
      assertEquals(
          Lockdale.commandLine().execute("apply", "-f", file.toString(), "--wait", "--node", node),
          0);
    } finally {
      Files.delete(file);
    }
    try (RawHttp http = new RawHttp(cluster.callerAddresses().get(0))) {
      String models =
          http.send("GET /v1/models HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n").readAll();
      assertTrue(models.contains("\"id\":\"gift-llm:disputes\""), models);
    }
    String reply =
        post(
            "/v1/completions",
            "{\"model\":\"gift-llm:disputes\",\"prompt\":\"three\",\"max_tokens\":3}");
    assertTrue(reply.contains(expectedText("three", 3)), reply);
  }
}
