package org.lockdale.openai;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;

/** Renders completions as JSON of the OpenAI API, for stand-in engines. */
public final class CompletionJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final CompletionRequest.Kind kind;
  private final String id;
  private final String model;

  /**
   * Creates a renderer for the response to one request.
   *
   * @param kind endpoint that received the request
   * @param id id of the completion
   * @param model model that the response names
   */
  public CompletionJson(CompletionRequest.Kind kind, String id, String model) {
    this.kind = kind;
    this.id = id;
    this.model = model;
  }

  /** Returns a chunk of a streamed completion with a piece of text. */
  public byte[] chunk(String text) {
    ObjectNode root =
        head(kind == CompletionRequest.Kind.CHAT ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
    if (kind == CompletionRequest.Kind.CHAT) {
      choice.putObject("delta").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.putNull("finish_reason");
    return write(root);
  }

  /** Returns the last chunk of a streamed completion, with the token usage. */
  public byte[] lastChunk(int promptTokens, int cachedTokens, int completionTokens) {
    ObjectNode root =
        head(kind == CompletionRequest.Kind.CHAT ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
    if (kind == CompletionRequest.Kind.CHAT) {
      choice.putObject("delta");
    } else {
      choice.put("text", "");
    }
    choice.put("finish_reason", "length");
    putUsage(root, promptTokens, cachedTokens, completionTokens);
    return write(root);
  }

  /** Returns a complete, non-streamed response with the token usage. */
  public byte[] completion(String text, int promptTokens, int cachedTokens, int completionTokens) {
    ObjectNode root =
        head(kind == CompletionRequest.Kind.CHAT ? "chat.completion" : "text_completion");
    ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
    if (kind == CompletionRequest.Kind.CHAT) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", "length");
    putUsage(root, promptTokens, cachedTokens, completionTokens);
    return write(root);
  }

  private ObjectNode head(String object) {
    return MAPPER
        .createObjectNode()
        .put("id", id)
        .put("object", object)
        .put("created", 0)
        .put("model", model);
  }

  private static void putUsage(
      ObjectNode root, int promptTokens, int cachedTokens, int completionTokens) {
    ObjectNode usage =
        root.putObject("usage")
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", completionTokens)
            .put("total_tokens", promptTokens + completionTokens);
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
  }

  private static byte[] write(ObjectNode root) {
    try {
      return MAPPER.writeValueAsBytes(root);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
