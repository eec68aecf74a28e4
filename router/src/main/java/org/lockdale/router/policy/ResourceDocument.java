package org.lockdale.router.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import org.lockdale.coordination.configuration.ResourceKey;

/**
 * A configuration resource in the format of Kubernetes: {@code kind}, {@code metadata} with name
 * and labels, {@code spec}.
 *
 * @param key kind and name
 * @param labels labels
 * @param spec contents, which depend on the kind
 * @param root the complete document
 */
public record ResourceDocument(
    ResourceKey key, Map<String, String> labels, JsonNode spec, JsonNode root) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns the resource of a parsed document; absent parts are treated as empty. */
  public static ResourceDocument of(JsonNode root) {
    JsonNode metadata = root.path("metadata");
    Map<String, String> labels = new TreeMap<>();
    for (Map.Entry<String, JsonNode> label : metadata.path("labels").properties()) {
      labels.put(label.getKey(), label.getValue().asText());
    }
    ResourceKey key = new ResourceKey(root.path("kind").asText(), metadata.path("name").asText());
    return new ResourceDocument(key, Map.copyOf(labels), root.path("spec"), root);
  }

  /** Returns the resource of a JSON document as stored in a configuration. */
  public static ResourceDocument parse(byte[] json) {
    try {
      return of(MAPPER.readTree(json));
    } catch (IOException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }

  /** Returns the document as JSON. */
  public byte[] toJson() {
    try {
      return MAPPER.writeValueAsBytes(root);
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
