package org.lockdale.router.policy;

import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.configuration.ResourceKey;

/**
 * Checks a configuration before it is proposed to the history: each document against the schema,
 * then the references between resources.
 */
public final class ConfigurationValidator {

  private static final String SCHEMA_RESOURCE = "configuration-schema.json";

  private final JsonSchema schema;

  /** Creates a validator with the shipped schema. */
  public ConfigurationValidator() {
    try (InputStream stream = ConfigurationValidator.class.getResourceAsStream(SCHEMA_RESOURCE)) {
      schema =
          JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
              .getSchema(Objects.requireNonNull(stream));
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Returns the problems of one document, or an empty list if it is valid. */
  public List<String> checkDocument(ResourceDocument document) {
    Set<String> found = new TreeSet<>();
    for (ValidationMessage message : schema.validate(document.root())) {
      found.add(document.key() + ": " + message.getMessage());
    }
    return List.copyOf(found);
  }

  /**
   * Returns the problems between the resources of a complete configuration: references to resources
   * that do not exist, and API keys that tenants share.
   */
  public List<String> checkReferences(ConfigurationState state) {
    List<String> problems = new ArrayList<>();
    Map<String, ResourceKey> ownerByKeyHash = new HashMap<>();
    state
        .resources()
        .forEach(
            (key, json) -> {
              ResourceDocument document = ResourceDocument.parse(json);
              checkReference(state, document, "Adapter", "model", "Model", problems);
              checkReference(state, document, "Route", "priority", "Priority", problems);
              checkKeys(document, ownerByKeyHash, problems);
            });
    return problems;
  }

  private static void checkReference(
      ConfigurationState state,
      ResourceDocument document,
      String kind,
      String field,
      String targetKind,
      List<String> problems) {
    String target = document.spec().path(field).asText("");
    boolean hasReference = document.key().kind().equals(kind) && !target.isEmpty();
    if (hasReference && !state.resources().containsKey(new ResourceKey(targetKind, target))) {
      problems.add(
          document.key()
              + ": spec."
              + field
              + " names "
              + targetKind
              + "/"
              + target
              + ", which does not exist; create it in the same edit or refer to an existing one");
    }
  }

  private static void checkKeys(
      ResourceDocument document, Map<String, ResourceKey> ownerByKeyHash, List<String> problems) {
    if (!document.key().kind().equals(ResourceKind.TENANT.wireName())) {
      return;
    }
    document
        .spec()
        .path("apiKeySha256")
        .forEach(
            hash -> {
              ResourceKey other = ownerByKeyHash.putIfAbsent(hash.asText(), document.key());
              if (other != null && !other.equals(document.key())) {
                problems.add(
                    document.key()
                        + ": shares an API key with "
                        + other
                        + "; give each tenant separate keys");
              }
            });
  }
}
