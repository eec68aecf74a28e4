package org.lockdale.emulator.engine;

import java.util.Map;

/**
 * What an engine tells of itself; as old as the engine's reports lag.
 *
 * @param id engine id
 * @param incarnation changes with every restart
 * @param zone zone of the engine
 * @param labels labels of the engine
 * @param leaving whether it takes no new work
 * @param weights weights version by model
 * @param running sequences in the batch
 * @param queued requests that wait
 * @param queuedPromptTokens prompt tokens not yet computed, of waiting and running requests
 * @param maxRunning most sequences in one batch
 * @param prefillTokensPerSecond speed of prefill on an otherwise idle engine
 * @param cachedBlocks blocks held
 * @param ageMicros time since the report was made
 */
public record LoadReport(
    String id,
    String incarnation,
    String zone,
    Map<String, String> labels,
    boolean leaving,
    Map<String, String> weights,
    int running,
    int queued,
    long queuedPromptTokens,
    int maxRunning,
    long prefillTokensPerSecond,
    int cachedBlocks,
    long ageMicros) {}
