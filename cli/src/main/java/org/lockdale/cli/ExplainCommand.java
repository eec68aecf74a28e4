package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.lockdale.router.operator.OperatorApi;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Explains how a request would be routed. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = "Shows which selectors match a request and which engine would serve it and why.")
final class ExplainCommand implements Callable<Integer> {

  @Mixin private OperatorOptions options = new OperatorOptions();

  @Option(names = "--tenant", required = true, description = "Tenant of the request.")
  private String tenant;

  @Option(names = "--model", required = true, description = "Model name as used by callers.")
  private String model;

  @Option(names = "--label", paramLabel = "KEY=VALUE", description = "Label the caller adds.")
  private Map<String, String> labels = new LinkedHashMap<>();

  @Option(names = "--prompt", defaultValue = "", description = "Prompt text.")
  private String prompt;

  @Option(names = "--json", description = "Prints JSON.")
  private boolean json;

  @Override
  public Integer call() {
    ObjectNode request =
        OperatorClient.MAPPER
            .createObjectNode()
            .put("tenant", tenant)
            .put("model", model)
            .put("prompt", prompt);
    ObjectNode metadata = request.putObject("metadata");
    labels.forEach(metadata::put);
    try (OperatorClient client = new OperatorClient(options)) {
      JsonNode explanation = client.post(OperatorApi.EXPLAIN, request);
      if (json) {
        System.out.println(explanation.toPrettyString());
      } else {
        print(explanation);
      }
      return explanation.path("chosenEngine").asText().isEmpty()
          ? ExitStatus.FAILED
          : ExitStatus.OK;
    }
  }

  private static void print(JsonNode explanation) {
    System.out.println("configuration version " + explanation.path("configurationVersion"));
    System.out.println("labels " + explanation.path("labels"));
    for (JsonNode route : explanation.path("routes")) {
      System.out.printf(
          "route %-24s order %-5d %s%n",
          route.path("route").asText(),
          route.path("order").asInt(),
          route.path("matches").asBoolean() ? "matches" : "does not match");
    }
    System.out.printf(
        "decides: %s, priority %s%n",
        explanation.path("route").asText("none"), explanation.path("priority").asText("none"));
    for (JsonNode engine : explanation.path("engines")) {
      String obstacle = engine.path("obstacle").asText();
      System.out.printf(
          "engine %-16s %-14s %s%n",
          engine.path("engine").asText(),
          engine.path("zone").asText(),
          obstacle.isEmpty() ? "allowed" : "not allowed: " + obstacle);
    }
    System.out.printf(
        "chosen: %s (%s)%n",
        explanation.path("chosenEngine").asText(), explanation.path("reason").asText());
  }
}
