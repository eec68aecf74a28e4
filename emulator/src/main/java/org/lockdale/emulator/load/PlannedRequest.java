package org.lockdale.emulator.load;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A request that a workload wants sent.
 *
 * @param tenant tenant name
 * @param apiKey the tenant's key
 * @param model model name
 * @param service what the caller does, also a label of the request
 * @param metadata further labels
 * @param systemPrompt shared part of the prompt
 * @param userPrompt part of its own
 * @param maxTokens length of the answer
 * @param stream whether the answer is streamed
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
   * Returns a request of a workload: labelled with its service, streamed unless it must run at most
   * once.
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
