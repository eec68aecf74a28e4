package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.router.operator.OperatorApi;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Creates or replaces the resources that a file describes; other resources are unchanged. */
@Command(
    name = "apply",
    mixinStandardHelpOptions = true,
    description = "Sets the resources of a file; others stay as they are.")
final class ApplyCommand implements Callable<Integer> {

  private static final long POLL_MILLIS = 200;
  private static final long WAIT_MILLIS = 30_000;

  @Mixin private OperatorOptions options = new OperatorOptions();

  @Option(names = "-f", paramLabel = "FILE", required = true, description = "YAML documents.")
  private Path file;

  @Option(
      names = "--base-version",
      description = "Version the edit is based on (default: the newest); must be the newest.")
  private @Nullable Long baseVersion;

  @Option(names = "--dry-run", description = "Checks the edit and changes nothing.")
  private boolean dryRun;

  @Option(names = "--wait", description = "Waits until the version is in force at all nodes.")
  private boolean wait;

  @Override
  public Integer call() throws InterruptedException {
    List<JsonNode> resources = ResourceFiles.read(file);
    try (OperatorClient client = new OperatorClient(options)) {
      long base =
          baseVersion == null
              ? client.get(OperatorApi.CONFIGURATION).path("version").asLong()
              : baseVersion;
      long version = client.edit(base, resources, List.of(), dryRun);
      System.out.println(
          dryRun
              ? "valid: " + resources.size() + " resources"
              : "accepted as version " + version + ": " + resources.size() + " resources");
      return !wait || dryRun || waitUntilInForce(client, version)
          ? ExitStatus.OK
          : ExitStatus.FAILED;
    }
  }

  private static boolean waitUntilInForce(OperatorClient client, long version)
      throws InterruptedException {
    long start = System.nanoTime();
    long waitedMillis = 0;
    while (waitedMillis < WAIT_MILLIS) {
      JsonNode cluster = client.get(OperatorApi.CLUSTER_STATUS);
      boolean reached = cluster.path("highestVersion").asLong() >= version;
      waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      if (reached && cluster.path("inForceEverywhere").asBoolean()) {
        System.out.println(
            "in force at " + cluster.path("nodes").size() + " nodes after " + waitedMillis + " ms");
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    System.err.println("not in force everywhere yet; see lockdale status");
    return false;
  }
}
