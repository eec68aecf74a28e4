package org.lockdale.emulator.engine;

/**
 * Written by an engine when it starts to run an attempt. Checks treat it as ground truth.
 *
 * @param engineId engine id
 * @param incarnation incarnation of the engine
 * @param attemptId attempt id
 * @param owner tenant, model and weights that the blocks belong to
 * @param promptDigest digest of the prompt
 * @param promptTokens length of the prompt in tokens
 * @param cachedTokens prompt tokens found in the cache
 * @param heldElsewhereTokens prompt tokens not found in the cache although another engine held
 *     them, which is avoidable recomputation
 * @param startedAtMicros start time in microseconds by the engine's clock
 */
public record RunRecord(
    String engineId,
    String incarnation,
    String attemptId,
    String owner,
    long promptDigest,
    int promptTokens,
    int cachedTokens,
    int heldElsewhereTokens,
    long startedAtMicros) {}
