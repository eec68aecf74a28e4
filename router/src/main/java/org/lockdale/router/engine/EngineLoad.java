package org.lockdale.router.engine;

/**
 * Load of an engine as it last reported.
 *
 * @param running number of sequences in its batch
 * @param queued number of requests in its queue
 * @param pendingPromptTokens number of prompt tokens not yet computed
 * @param maxRunning maximum number of sequences in its batch
 * @param prefillTokensPerSecond prefill speed
 * @param reportedAtMillis monotonic time at which the report was received, in milliseconds
 */
public record EngineLoad(
    int running,
    int queued,
    long pendingPromptTokens,
    int maxRunning,
    long prefillTokensPerSecond,
    long reportedAtMillis) {

  /** Assumed load of an engine that has not reported yet: idle, of typical size and speed. */
  public static final EngineLoad UNKNOWN = new EngineLoad(0, 0, 0, 32, 20_000, 0);
}
