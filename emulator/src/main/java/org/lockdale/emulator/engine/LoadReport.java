package org.lockdale.emulator.engine;

import java.util.Map;

/**
 * Load and state that an engine reports, which may lag behind its actual state.
 *
 * @param id engine id
 * @param incarnation changes with every restart
 * @param zone zone of the engine
 * @param labels labels of the engine
 * @param leaving whether it is draining and rejects new requests
 * @param weights weights version by model
 * @param running sequences in the batch
 * @param queued requests that wait for a place in the batch
 * @param queuedPromptTokens prompt tokens of queued and running requests not yet computed
 * @param maxRunning maximum number of sequences in a batch
 * @param prefillTokensPerSecond prompt tokens that the engine computes a second if it does nothing
 *     else
 * @param cachedBlocks prefix blocks in the cache
 * @param ageMicros age of the report in microseconds; 0 in reports of {@link EngineModel}
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
