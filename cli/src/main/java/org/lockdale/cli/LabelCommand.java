package org.lockdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.lockdale.router.operator.OperatorApi;
import org.lockdale.router.policy.ResourceKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sets and removes labels of one resource; an engine without a resource gets one. */
@Command(
    name = "label",
    mixinStandardHelpOptions = true,
    description = "Sets labels (KEY=VALUE) or removes them (KEY-) on one resource.")
final class LabelCommand implements Callable<Integer> {

  @Mixin private OperatorOptions options = new OperatorOptions();

  @Parameters(index = "0", paramLabel = "KIND", description = "Such as tenant or engine.")
  private String kind;

  @Parameters(index = "1", paramLabel = "NAME", description = "The resource.")
  private String name;

  @Parameters(index = "2..*", arity = "1..*", paramLabel = "KEY=VALUE|KEY-")
  private List<String> changes;

  @Option(
      names = "--base-version",
      description = "Version the edit is based on (default: the newest); must be the newest.")
  private @Nullable Long baseVersion;

  @Override
  public Integer call() {
    ResourceKind wanted = GetCommand.kindOf(kind);
    try (OperatorClient client = new OperatorClient(options)) {
      JsonNode configuration = client.get(OperatorApi.CONFIGURATION);
      ObjectNode resource = skeleton(wanted);
      JsonNode current = DiffCommand.find(configuration, resource);
      if (current != null) {
        resource = current.deepCopy();
      } else if (wanted != ResourceKind.ENGINE) {
        throw new OperatorException(
            "There is no " + wanted.wireName() + " '" + name + "'; create it with apply.");
      }
      changeLabels(resource);
      long base = baseVersion == null ? configuration.path("version").asLong() : baseVersion;
      long version = client.edit(base, List.of(resource), List.of(), false);
      System.out.println("accepted as version " + version);
      return ExitStatus.OK;
    }
  }

  private ObjectNode skeleton(ResourceKind wanted) {
    ObjectNode root =
        OperatorClient.MAPPER
            .createObjectNode()
            .put("apiVersion", "lockdale/v1")
            .put("kind", wanted.wireName());
    root.putObject("metadata").put("name", name);
    return root;
  }

  private void changeLabels(ObjectNode resource) {
    ObjectNode labels = resource.withObjectProperty("metadata").withObjectProperty("labels");
    for (String change : changes) {
      int equals = change.indexOf('=');
      if (equals > 0) {
        labels.put(change.substring(0, equals), change.substring(equals + 1));
      } else if (change.endsWith("-") && change.length() > 1) {
        labels.remove(change.substring(0, change.length() - 1));
      } else {
        throw new OperatorException("'" + change + "' is neither KEY=VALUE nor KEY-.");
      }
    }
  }
}
