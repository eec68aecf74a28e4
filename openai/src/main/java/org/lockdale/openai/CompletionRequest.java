package org.lockdale.openai;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.lockdale.coordination.placement.PromptText;

/**
 * The fields of a completion request that determine where and how it runs. The body itself is
 * forwarded unchanged, so fields that are not listed here reach the engine as well.
 *
 * @param kind endpoint that received it
 * @param model requested model or adapter
 * @param prompt joined prompt text, in UTF-8
 * @param maxTokens maximum number of completion tokens
 * @param stream whether the response is to be streamed
 * @param metadata labels that the caller attached; empty if there are none
 */
public record CompletionRequest(
    Kind kind,
    String model,
    byte[] prompt,
    int maxTokens,
    boolean stream,
    Map<String, String> metadata) {

  /** Completion endpoints. */
  public enum Kind {
    /** Completes a conversation of messages with roles. */
    CHAT("/v1/chat/completions"),
    /** Completes a plain text. */
    TEXT("/v1/completions");

    private final String path;

    Kind(String path) {
      this.path = path;
    }

    /** Returns the path of the endpoint. */
    public String path() {
      return path;
    }
  }

  /** Maximum number of completion tokens if the request sets none. */
  public static final int DEFAULT_MAX_TOKENS = 256;

  private static final int MAX_NESTING_DEPTH = 32;
  private static final int MAX_COMPLETION_TOKENS = 131_072;
  private static final int MAX_METADATA_ENTRIES = 16;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(
          JsonFactory.builder()
              .streamReadConstraints(
                  StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
              .build());

  /**
   * Parses a request body.
   *
   * @param kind endpoint that received the request
   * @param body request body, JSON
   * @throws InvalidRequestException if the body is not valid JSON, lacks a required field or has an
   *     invalid one
   */
  public static CompletionRequest parse(Kind kind, byte[] body) {
    JsonNode root = readTree(body);
    if (!root.isObject()) {
      throw invalid("invalid_json", "", "The body must be a JSON object.");
    }
    PromptText text = kind == Kind.CHAT ? chatPrompt(root) : plainPrompt(root);
    return new CompletionRequest(
        kind,
        requiredText(root, "model"),
        text.toBytes(),
        maxTokensOf(root),
        streamOf(root),
        metadataOf(root));
  }

  private static JsonNode readTree(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (StreamConstraintsException tooDeep) {
      throw invalid(
          "json_too_deep",
          "",
          "The body is nested deeper than " + MAX_NESTING_DEPTH + " levels; flatten it.");
    } catch (JsonProcessingException malformed) {
      throw invalid(
          "invalid_json",
          "",
          "The body is not valid JSON (line "
              + malformed.getLocation().getLineNr()
              + ", column "
              + malformed.getLocation().getColumnNr()
              + "); correct it.");
    } catch (IOException impossible) {
      throw invalid("invalid_json", "", "The body can't be read.");
    }
  }

  private static PromptText chatPrompt(JsonNode root) {
    JsonNode messages = root.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalid(
          "missing_messages", "messages", "'messages' must be an array with at least one message.");
    }
    PromptText text = new PromptText();
    for (JsonNode message : messages) {
      text.message(requiredText(message, "role"), contentOf(message.path("content")));
    }
    return text;
  }

  private static String contentOf(JsonNode content) {
    if (content.isTextual()) {
      return content.textValue();
    }
    if (!content.isArray()) {
      throw invalid(
          "invalid_content",
          "content",
          "Each message must have 'content' as a string or text parts.");
    }
    StringBuilder joined = new StringBuilder();
    for (JsonNode part : content) {
      joined.append(requiredText(part, "text"));
    }
    return joined.toString();
  }

  private static PromptText plainPrompt(JsonNode root) {
    return new PromptText().append(requiredText(root, "prompt"));
  }

  private static String requiredText(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw invalid("missing_" + field, field, "'" + field + "' must be a non-empty string.");
    }
    return value.textValue();
  }

  private static int maxTokensOf(JsonNode root) {
    JsonNode value =
        root.has("max_completion_tokens")
            ? root.path("max_completion_tokens")
            : root.path("max_tokens");
    if (value.isMissingNode() || value.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    boolean valid =
        value.isIntegralNumber() && value.asLong() >= 1 && value.asLong() <= MAX_COMPLETION_TOKENS;
    if (!valid) {
      throw invalid(
          "invalid_max_tokens",
          "max_tokens",
          "'max_tokens' must be a whole number from 1 to " + MAX_COMPLETION_TOKENS + ".");
    }
    return value.asInt();
  }

  private static boolean streamOf(JsonNode root) {
    JsonNode value = root.path("stream");
    if (value.isMissingNode() || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw invalid("invalid_stream", "stream", "'stream' must be true or false.");
    }
    return value.booleanValue();
  }

  private static Map<String, String> metadataOf(JsonNode root) {
    JsonNode metadata = root.path("metadata");
    if (metadata.isMissingNode() || metadata.isNull()) {
      return Map.of();
    }
    if (!metadata.isObject() || metadata.size() > MAX_METADATA_ENTRIES) {
      throw invalid(
          "invalid_metadata",
          "metadata",
          "'metadata' must be an object of at most " + MAX_METADATA_ENTRIES + " strings.");
    }
    Map<String, String> labels = new TreeMap<>();
    for (Map.Entry<String, JsonNode> field : metadata.properties()) {
      if (!field.getValue().isTextual()) {
        throw invalid(
            "invalid_metadata",
            "metadata",
            "The value of '" + field.getKey() + "' must be a string.");
      }
      labels.put(field.getKey(), field.getValue().textValue());
    }
    return Map.copyOf(labels);
  }

  private static InvalidRequestException invalid(String code, String parameter, String message) {
    return new InvalidRequestException(code, parameter, message);
  }
}
