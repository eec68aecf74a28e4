package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.lockdale.router.operator.OperatorApi;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the status of all nodes and engines, and the configuration version at each node. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Shows nodes, engines, the version in force at each node and what lags.")
final class StatusCommand implements Callable<Integer> {

  @Mixin private OperatorOptions options = new OperatorOptions();

  @Option(names = "--json", description = "Prints JSON.")
  private boolean json;

  @Override
  public Integer call() {
    try (OperatorClient client = new OperatorClient(options)) {
      JsonNode cluster = client.get(OperatorApi.CLUSTER_STATUS);
      if (json) {
        System.out.println(cluster.toPrettyString());
      } else {
        print(cluster);
      }
      return cluster.path("inForceEverywhere").asBoolean() ? ExitStatus.OK : ExitStatus.FAILED;
    }
  }

  private static void print(JsonNode cluster) {
    long highest = cluster.path("highestVersion").asLong();
    System.out.printf(
        "configuration version %d, %s%n%n",
        highest,
        cluster.path("inForceEverywhere").asBoolean()
            ? "in force at all nodes"
            : "NOT in force at all nodes");
    System.out.printf(
        "%-16s %-14s %-9s %8s %9s %7s%n",
        "NODE", "ZONE", "PHASE", "VERSION", "IN-FLIGHT", "QUEUED");
    for (JsonNode node : cluster.path("nodes")) {
      long version = node.path("configurationVersion").asLong();
      System.out.printf(
          "%-16s %-14s %-9s %8d %9d %7d%s%n",
          node.path("node").asText(),
          node.path("zone").asText(),
          node.path("phase").asText().toLowerCase(Locale.ROOT),
          version,
          node.path("requestsInFlight").asInt(),
          node.path("requestsQueued").asInt(),
          version < highest ? "  lags by " + (highest - version) : "");
    }
    for (JsonNode silent : cluster.path("silent")) {
      System.out.printf("%-16s no response%n", silent.asText());
    }
    printEngines(cluster.path("nodes").path(0).path("engines"));
  }

  private static void printEngines(JsonNode engines) {
    System.out.printf(
        "%n%-16s %-14s %-8s %8s %7s %10s%n",
        "ENGINE", "ZONE", "STATE", "RUNNING", "QUEUED", "REPORT-AGE");
    for (JsonNode engine : engines) {
      String state = engine.path("usable").asBoolean() ? "up" : "down";
      state = engine.path("leaving").asBoolean() ? "leaving" : state;
      System.out.printf(
          "%-16s %-14s %-8s %4d/%-3d %7d %7d ms%n",
          engine.path("engine").asText(),
          engine.path("zone").asText(),
          state,
          engine.path("running").asInt(),
          engine.path("maxRunning").asInt(),
          engine.path("queued").asInt(),
          engine.path("reportAgeMillis").asLong());
    }
  }
}
