package org.lockdale.router.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Map;

/**
 * Status and load of an engine as reported by itself.
 *
 * @param id engine id
 * @param incarnation changes with every restart
 * @param labels labels of the engine, or null if the report has none
 * @param leaving whether it is draining and accepts no new work
 * @param weights weights version by model
 * @param running number of sequences in the batch
 * @param queued number of requests in its queue
 * @param queuedPromptTokens number of prompt tokens not yet computed
 * @param maxRunning maximum number of sequences in one batch
 * @param prefillTokensPerSecond prefill speed
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineReport(
    String id,
    String incarnation,
    Map<String, String> labels,
    boolean leaving,
    Map<String, String> weights,
    int running,
    int queued,
    long queuedPromptTokens,
    int maxRunning,
    long prefillTokensPerSecond) {

  /** Returns the load of the report, received at a monotonic time. */
  public EngineLoad toLoad(long nowMillis) {
    return new EngineLoad(
        running,
        queued,
        queuedPromptTokens,
        Math.max(1, maxRunning),
        Math.max(1, prefillTokensPerSecond),
        nowMillis);
  }
}
