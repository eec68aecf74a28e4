package org.lockdale.gateway.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A request as a caller sent it.
 *
 * @param id the caller's id of this attempt
 * @param method HTTP method
 * @param uri path and query as sent
 * @param path path without the query
 * @param host requested host
 * @param key the caller's key, or null if there is none
 * @param deadlineMillis time for which the caller waits from the arrival of the request, in
 *     milliseconds
 * @param model requested model, or null if there is none
 * @param promptParts parts of the prompt in order; empty if there is no prompt
 * @param usage tokens of the prompt and of the response, or null if not specified
 * @param lastEventId id of the last event that the caller received of a stream to be continued, or
 *     null
 * @param resumedId the caller's id of the attempt that brought the first event of a stream to be
 *     continued, or null
 * @param headers all headers as sent
 * @param body complete body
 */
public record CallerRequest(
    String id,
    String method,
    String uri,
    String path,
    String host,
    @Nullable String key,
    long deadlineMillis,
    @Nullable String model,
    List<PromptPart> promptParts,
    @Nullable TokenUsage usage,
    @Nullable String lastEventId,
    @Nullable String resumedId,
    HttpHeaders headers,
    byte[] body) {

  /**
   * Returns the number of tokens of the prompt and of the longest response together, or null if not
   * specified.
   */
  public @Nullable Long tokens() {
    TokenUsage specified = usage;
    return specified == null ? null : (Long) specified.total();
  }
}
