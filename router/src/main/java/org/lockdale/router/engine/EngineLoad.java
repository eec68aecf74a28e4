package org.lockdale.router.engine;

/**
 * Load of an engine as it last reported.
 *
 * @param running sequences in its batch
 * @param queued requests that wait in it
 * @param pendingPromptTokens prompt tokens not yet computed
 * @param maxRunning most sequences in its batch
 * @param prefillTokensPerSecond speed of prefill
 * @param reportedAtMillis monotonic time of the report
 */
public record EngineLoad(
    int running,
    int queued,
    long pendingPromptTokens,
    int maxRunning,
    long prefillTokensPerSecond,
    long reportedAtMillis) {

  /** Load of an engine that has not reported yet: idle, of ordinary size. */
  public static final EngineLoad UNKNOWN = new EngineLoad(0, 0, 0, 32, 20_000, 0);
}
