package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks the output and exit statuses of the operators' commands. */
public final class OperatorCommandsTest {

  private static final String TOKEN = "operators-token-for-tests";

  private LocalCluster cluster;

  /** Exit status and output of a command. */
  private record Run(int status, String output, String errors) {}

  /** Starts a deployment whose edits need a token. */
  @BeforeClass
  public void start() throws InterruptedException {
    cluster =
        LocalCluster.start(
            Deployment.find("gift-cards")
                .withEngines(
                    List.of("pasig-a", "pasig-b"), List.of(2, 1), UnaryOperator.identity()),
            1,
            Map.of("operators.token", TOKEN));
  }

  /** Stops it. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    cluster.close();
  }

  private static Run execute(String... arguments) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    PrintStream systemOutput = System.out;
    PrintStream systemErrors = System.err;
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
    try {
      int status = Lockdale.commandLine().execute(arguments);
      return new Run(
          status, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(systemOutput);
      System.setErr(systemErrors);
    }
  }

  private Run operate(String... arguments) {
    List<String> all = new ArrayList<>(List.of(arguments));
    all.add("--node=" + Addresses.format(cluster.nodes().get(1).operatorAddress()));
    all.add("--token=" + TOKEN);
    return execute(all.toArray(String[]::new));
  }

  /** The output of get is valid input of apply, and diff finds no difference. */
  @Test
  public void getPrintsWhatApplyTakes() throws IOException {
    Run get = operate("get", "tenants");
    assertEquals(get.status(), 0, get.errors());
    assertEquals(get.output().split("kind: \"Tenant\"").length - 1, 8, get.output());
    Path file = Files.createTempFile("tenants", ".yaml");
    try {
      Files.writeString(file, get.output());
      assertEquals(operate("diff", "-f", file.toString()).status(), 0);
      assertEquals(operate("apply", "-f", file.toString(), "--dry-run").status(), 0);
      Files.writeString(file, get.output().replace("size: \"large\"", "size: \"huge\""));
      Run diff = operate("diff", "-f", file.toString());
      assertEquals(diff.status(), 1);
      assertTrue(diff.output().contains("+     size: \"huge\""), diff.output());
    } finally {
      Files.delete(file);
    }
  }

  /** An invalid file is rejected completely, and the error names the missing resource. */
  @Test
  public void anInvalidFileChangesNothing() throws IOException {
    long before = cluster.nodes().get(1).blackboard().configuration().value().version();
    Path file = Files.createTempFile("bad", ".yaml");
    try {
      Files.writeString(
          file,
          "{apiVersion: lockdale/v1, kind: Zone, metadata: {name: fine}}\n---\n"
              + "{apiVersion: lockdale/v1, kind: Route, metadata: {name: r}, spec: {order: 1,"
              + " priority: none-such}}\n");
      Run apply = operate("apply", "-f", file.toString());
      assertEquals(apply.status(), 1);
      assertTrue(apply.errors().contains("Priority/none-such"), apply.errors());
    } finally {
      Files.delete(file);
    }
    assertEquals(cluster.nodes().get(1).blackboard().configuration().value().version(), before);
  }

  /** An edit with a wrong token is rejected, and the token is not printed. */
  @Test
  public void editsNeedTheToken() {
    Run label =
        execute(
            "label",
            "engine",
            "llm-01",
            "a=b",
            "--token=wrong-token-wrong-token",
            "--node=" + Addresses.format(cluster.nodes().get(0).operatorAddress()));
    assertEquals(label.status(), 1);
    assertTrue(label.errors().contains("token"), label.errors());
    assertFalse(label.errors().contains("wrong-token"), label.errors());
  }

  /** status lists nodes and engines; explain prints the deciding route and the chosen engine. */
  @Test
  public void statusAndExplanation() {
    Run status = operate("status");
    assertEquals(status.status(), 0, status.output());
    assertTrue(status.output().contains("in force at all nodes"), status.output());
    assertTrue(status.output().contains("pasig-a-node"), status.output());
    assertTrue(status.output().contains("llm-03"), status.output());
    Run explain =
        operate(
            "explain",
            "--tenant=sm-malls",
            "--model=gift-llm",
            "--label=service=dispute-draft",
            "--prompt=a prompt");
    assertEquals(explain.status(), 0, explain.errors());
    assertTrue(explain.output().contains("decides: dispute-drafts, priority draft"));
    assertTrue(explain.output().contains("chosen: llm-0"), explain.output());
    assertEquals(operate("explain", "--tenant=sm-malls", "--model=none").status(), 1);
  }

  /** Health and metrics are served on the operators' port. */
  @Test
  public void healthAndMetrics() throws IOException {
    for (String path : List.of("/health/live", "/health/ready", "/metrics")) {
      try (RawHttp http = new RawHttp(cluster.nodes().get(0).operatorAddress())) {
        String reply =
            http.send("GET " + path + " HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n")
                .readAll();
        assertTrue(reply.startsWith("http/1.1 200"), reply);
        if (path.equals("/metrics")) {
          assertTrue(reply.contains("lockdale_configuration_version"), reply);
        }
      }
    }
  }

  /**
   * Invalid settings and options exit with 2; an unreachable node, an unknown kind and a missing
   * file exit with 1.
   */
  @Test
  public void exitStatuses() {
    Run settings = execute("node", "--set=node.id=n", "--set=callers.port=x");
    assertEquals(settings.status(), 2);
    assertTrue(settings.errors().contains("callers.port: 'x' is not a whole number"));
    assertEquals(execute("node", "--no-such-option").status(), 2);
    assertEquals(execute("status", "--node=127.0.0.1:1").status(), 1);
    assertEquals(execute("get", "pods", "--node=127.0.0.1:1").status(), 1);
    assertEquals(execute("apply", "-f", "no-such-file.yaml").status(), 1);
  }

  /** Secrets are masked in the printed settings. */
  @Test
  public void printedSettingsHideSecrets() {
    Run printed =
        execute(
            "node",
            "--set=node.id=n",
            "--set=node.zone=z",
            "--set=peers.shared-key=a-secret-of-mine-0",
            "--set=platform.address=127.0.0.1:1",
            "--print-settings");
    assertEquals(printed.status(), 0, printed.errors());
    assertTrue(printed.output().contains("peers.shared-key: (secret)"), printed.output());
    assertFalse(printed.output().contains("a-secret-of-mine-0"), printed.output());
  }
}
