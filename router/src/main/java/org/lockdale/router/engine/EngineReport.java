package org.lockdale.router.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Map;

/**
 * What an engine tells of itself.
 *
 * @param id engine id
 * @param incarnation changes with every restart
 * @param labels labels of the engine
 * @param leaving whether it takes no new work
 * @param weights weights version by model
 * @param running sequences in the batch
 * @param queued requests that wait
 * @param queuedPromptTokens prompt tokens not yet computed
 * @param maxRunning most sequences in one batch
 * @param prefillTokensPerSecond speed of prefill
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

  /** Returns the load of the report, as of a time. */
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
