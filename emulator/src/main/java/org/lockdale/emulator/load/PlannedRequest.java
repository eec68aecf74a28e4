package org.lockdale.emulator.load;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A request that a workload generates.
 *
 * @param tenant tenant name
 * @param apiKey API key of the tenant
 * @param model model name
 * @param service kind of the request, also a label of it
 * @param metadata labels of the request
 * @param systemPrompt shared part of the prompt
 * @param userPrompt part that is unique to the request
 * @param maxTokens length of the response in tokens
 * @param stream whether the response is streamed
 * @param idempotencyKey key of a request that must run at most once, or null
 */
public record PlannedRequest(
    String tenant,
    String apiKey,
    String model,
    String service,
    Map<String, String> metadata,
    String systemPrompt,
    String userPrompt,
    int maxTokens,
    boolean stream,
    @Nullable String idempotencyKey) {

  /**
   * Returns a request that is labelled with its service, and streamed unless it has an idempotency
   * key.
   */
  static PlannedRequest of(
      String tenant,
      String model,
      String service,
      String systemPrompt,
      String userPrompt,
      int maxTokens,
      @Nullable String idempotencyKey) {
    return new PlannedRequest(
        tenant,
        "key-" + tenant,
        model,
        service,
        Map.of("service", service),
        systemPrompt,
        userPrompt,
        maxTokens,
        idempotencyKey == null,
        idempotencyKey);
  }
}
