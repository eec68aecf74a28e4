package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.lockdale.router.operator.OperatorApi;
import org.lockdale.router.policy.ResourceDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Compares a file with the configuration in force. */
@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description = "Shows what apply would change; exit status 1 if there is a difference.")
final class DiffCommand implements Callable<Integer> {

  @Mixin private OperatorOptions options = new OperatorOptions();

  @Option(names = "-f", paramLabel = "FILE", required = true, description = "YAML documents.")
  private Path file;

  @Override
  public Integer call() {
    int differences = 0;
    try (OperatorClient client = new OperatorClient(options)) {
      JsonNode configuration = client.get(OperatorApi.CONFIGURATION);
      for (JsonNode wanted : ResourceFiles.read(file)) {
        JsonNode current = find(configuration, wanted);
        if (!wanted.equals(current)) {
          differences++;
          print(wanted, current);
        }
      }
    }
    return differences == 0 ? ExitStatus.OK : ExitStatus.FAILED;
  }

  static @Nullable JsonNode find(JsonNode configuration, JsonNode wanted) {
    for (JsonNode resource : configuration.path("resources")) {
      if (ResourceDocument.of(resource).key().equals(ResourceDocument.of(wanted).key())) {
        return resource;
      }
    }
    return null;
  }

  private static void print(JsonNode wanted, @Nullable JsonNode current) {
    System.out.println("# " + ResourceDocument.of(wanted).key());
    if (current != null) {
      ResourceFiles.toYaml(current).lines().forEach(line -> System.out.println("- " + line));
    }
    ResourceFiles.toYaml(wanted).lines().forEach(line -> System.out.println("+ " + line));
  }
}
