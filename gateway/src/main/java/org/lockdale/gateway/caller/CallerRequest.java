package org.lockdale.gateway.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A request as a caller sent it.
 *
 * @param id the caller's id of this try
 * @param method HTTP method
 * @param uri path and query as sent
 * @param path path without the query
 * @param host host that was asked
 * @param key the caller's key, or null
 * @param deadlineMillis how long the caller waits from the request's arrival, in milliseconds
 * @param model model that is asked for, or null
 * @param promptParts parts of the prompt in order; empty where there is none
 * @param tokens tokens of the prompt and of the longest answer together, or null if not told
 * @param lastEventId id of the last event the caller holds of a stream to be continued, or null
 * @param headers all headers as sent
 * @param body whole body
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
    @Nullable Long tokens,
    @Nullable String lastEventId,
    HttpHeaders headers,
    byte[] body) {}
