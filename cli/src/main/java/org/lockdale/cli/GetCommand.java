package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.lockdale.router.operator.OperatorApi;
import org.lockdale.router.policy.ResourceKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints the resources in force, all or those of a kind or name. */
@Command(
    name = "get",
    mixinStandardHelpOptions = true,
    description = "Prints the resources in force, as YAML that apply accepts.")
final class GetCommand implements Callable<Integer> {

  @Mixin private OperatorOptions options = new OperatorOptions();

  @Parameters(index = "0", arity = "0..1", paramLabel = "KIND", description = "Such as tenant.")
  private @Nullable String kind;

  @Parameters(index = "1", arity = "0..1", paramLabel = "NAME", description = "One resource.")
  private @Nullable String name;

  @Override
  public Integer call() {
    String wantedKind = kind == null ? null : kindOf(kind).wireName();
    try (OperatorClient client = new OperatorClient(options)) {
      JsonNode configuration = client.get(OperatorApi.CONFIGURATION);
      System.out.println("# version " + configuration.path("version").asLong());
      int printed = 0;
      for (JsonNode resource : configuration.path("resources")) {
        boolean wanted =
            (wantedKind == null || wantedKind.equals(resource.path("kind").asText()))
                && (name == null || name.equals(resource.path("metadata").path("name").asText()));
        if (wanted) {
          System.out.println("---");
          System.out.print(ResourceFiles.toYaml(resource));
          printed++;
        }
      }
      if (printed == 0 && name != null) {
        throw new OperatorException("There is no " + wantedKind + " '" + name + "'.");
      }
      return ExitStatus.OK;
    }
  }

  static ResourceKind kindOf(String text) {
    return ResourceKind.find(text)
        .orElseThrow(
            () ->
                new OperatorException(
                    "There is no kind '"
                        + text
                        + "'; kinds are zone, model, adapter, tenant, priority, limit, route,"
                        + " engine."));
  }
}
