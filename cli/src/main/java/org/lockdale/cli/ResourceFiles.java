package org.lockdale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads files of resources, which are YAML documents separated by {@code ---}. */
final class ResourceFiles {

  private static final YAMLMapper MAPPER =
      YAMLMapper.builder().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER).build();

  private ResourceFiles() {}

  static List<JsonNode> read(Path file) {
    List<JsonNode> documents = new ArrayList<>();
    try (MappingIterator<JsonNode> iterator =
        MAPPER.readerFor(JsonNode.class).readValues(Files.newInputStream(file))) {
      while (iterator.hasNextValue()) {
        JsonNode document = iterator.nextValue();
        if (document != null && document.isObject()) {
          documents.add(document);
        }
      }
    } catch (JsonProcessingException malformed) {
      throw new OperatorException(
          file + " is not valid YAML: " + malformed.getOriginalMessage() + "; correct it.");
    } catch (IOException unreadable) {
      throw new OperatorException(file + " can't be read; check the path and its permissions.");
    }
    if (documents.isEmpty()) {
      throw new OperatorException(file + " contains no resource; write at least one document.");
    }
    return documents;
  }

  static String toYaml(JsonNode document) {
    try {
      return MAPPER.writeValueAsString(document);
    } catch (JsonProcessingException impossible) {
      throw new OperatorException(impossible.toString());
    }
  }
}
