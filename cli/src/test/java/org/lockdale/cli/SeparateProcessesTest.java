package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lockdale.coordination.placement.PromptText;
import org.lockdale.emulator.engine.ResponseText;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Runs requests through separate processes: three nodes, three engines and one platform. */
public final class SeparateProcessesTest {

  private static final String[] ZONES = {"pasig-a", "pasig-b", "makati-c"};
  private static final int TOKENS = 3;

  private final ProcessCluster cluster = new ProcessCluster();

  /** Starts the processes and applies the example configuration. */
  @BeforeClass
  public void start() throws IOException, InterruptedException {
    cluster.start("platform", "platform", "--listen", "127.0.0.1:0");
    String platform = cluster.address("platform", "platform");
    for (int index = 0; index < ZONES.length; index++) {
      cluster.start(
          "llm-0" + (index + 1),
          "engine",
          "--id=llm-0" + (index + 1),
          "--zone=" + ZONES[index],
          "--label=pool=llm-pool",
          "--model=gift-llm=2026-11",
          "--platform=" + platform);
    }
    for (String zone : ZONES) {
      List<String> arguments =
          new ArrayList<>(
              List.of(
                  "node",
                  "--set=node.id=" + zone,
                  "--set=node.zone=" + zone,
                  "--set=callers.port=0",
                  "--set=operators.port=0",
                  "--set=peers.port=0",
                  "--set=peers.shared-key=0123456789abcdef",
                  "--set=platform.address=" + platform));
      if (!zone.equals(ZONES[0])) {
        arguments.add("--set=peers.seeds=" + cluster.address(ZONES[0], "peers"));
      }
      cluster.start(zone, arguments.toArray(String[]::new));
    }
    assertEquals(
        cluster.lockdale(
            "apply", "-f", "../examples/gift-cards.yaml", "--wait", "--node", operators()),
        0);
    for (String zone : ZONES) {
      ProcessCluster.await(zone + " sees all engines", () -> enginesOfNode(zone).size() == 3);
    }
  }

  /** Kills the processes. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    cluster.close();
  }

  private String operators() {
    return cluster.address(ZONES[0], "operators");
  }

  private static String body(String prompt, boolean stream) {
    return "{\"model\":\"gift-llm\",\"stream\":"
        + stream
        + ",\"max_tokens\":"
        + TOKENS
        + ",\"metadata\":{\"service\":\"balance-check\"},\"messages\":[{\"role\":\"user\","
        + "\"content\":\""
        + prompt
        + "\"}]}";
  }

  private static String expected(String prompt) {
    byte[] text = new PromptText().message("user", prompt).toBytes();
    return ResponseText.completeText(ResponseText.digest(text), TOKENS);
  }

  private HttpResponse<String> post(String zone, String prompt, boolean stream) {
    try {
      return cluster.complete(zone, "key-sm-malls", body(prompt, stream));
    } catch (IOException | InterruptedException failure) {
      throw new AssertionError(failure);
    }
  }

  /** Returns the engines that serve 24 different prompts sent to one node. */
  private Set<String> enginesOfNode(String zone) {
    Set<String> engines = new HashSet<>();
    for (int number = 0; number < 24; number++) {
      HttpResponse<String> reply = post(zone, ("prompt " + number + " ").repeat(40), false);
      reply.headers().firstValue("x-lockdale-engine").ifPresent(engines::add);
    }
    return engines;
  }

  /** Every node returns the complete response. */
  @Test
  public void answersAreWhole() {
    for (String zone : ZONES) {
      HttpResponse<String> reply = post(zone, "what is left on card 7", false);
      assertEquals(reply.statusCode(), 200, reply.body());
      assertTrue(reply.body().contains(expected("what is left on card 7")), reply.body());
      assertEquals(reply.headers().firstValue("x-lockdale-outcome").orElse(""), "complete");
    }
  }

  /** A stream is complete, in order and ends with the end marker. */
  @Test
  public void streamsAreWholeAndInOrder() {
    HttpResponse<String> reply = post(ZONES[1], "stream me", true);
    StringBuilder text = new StringBuilder();
    reply
        .body()
        .lines()
        .filter(line -> line.contains("\"content\":\""))
        .forEach(
            line -> {
              int start = line.indexOf("\"content\":\"") + "\"content\":\"".length();
              text.append(line, start, line.indexOf('"', start));
            });
    assertEquals(text.toString(), expected("stream me"));
    assertTrue(reply.body().endsWith("data: [DONE]\n\n"), reply.body());
  }

  /** A label edited through the command line changes which engines are chosen, at every node. */
  @Test(dependsOnMethods = {"answersAreWhole", "streamsAreWholeAndInOrder"})
  public void aLabelChangesTheChoice() throws InterruptedException {
    assertEquals(
        cluster.lockdale("label", "engine", "llm-02", "pool=drained", "--node", operators()), 0);
    for (String zone : ZONES) {
      ProcessCluster.await(
          zone + " no longer uses llm-02", () -> !enginesOfNode(zone).contains("llm-02"));
      assertFalse(enginesOfNode(zone).contains("llm-02"));
    }
    assertEquals(
        cluster.lockdale("label", "engine", "llm-02", "pool=llm-pool", "--node", operators()), 0);
    ProcessCluster.await("llm-02 is used again", () -> enginesOfNode(ZONES[0]).contains("llm-02"));
  }

  /** An edit based on an older version is rejected. */
  @Test(dependsOnMethods = "aLabelChangesTheChoice")
  public void anEditOnAnOldVersionConflicts() {
    assertEquals(
        cluster.lockdale(
            "label", "tenant", "puregold", "size=small", "--base-version=1", "--node", operators()),
        1);
  }

  /** The log contains request lines but neither keys nor prompts. */
  @Test(dependsOnMethods = "anEditOnAnOldVersionConflicts")
  public void logsHoldNoSecrets() throws IOException {
    String log = cluster.log(ZONES[0]);
    assertTrue(log.contains("event=request "), log);
    assertTrue(log.contains("tenant=sm-malls"), log);
    assertFalse(log.contains("key-sm-malls"), "an API key is in the log");
    assertFalse(log.contains("what is left on card"), "a prompt is in the log");
    assertFalse(log.contains("0123456789abcdef"), "the peers' key is in the log");
  }
}
