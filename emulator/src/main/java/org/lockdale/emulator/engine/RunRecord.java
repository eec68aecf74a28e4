package org.lockdale.emulator.engine;

/**
 * The engine's own note that an attempt truly ran; the ground truth of every check.
 *
 * @param engineId engine
 * @param incarnation incarnation of the engine
 * @param attemptId attempt
 * @param owner tenant, model and weights that the blocks belong to
 * @param promptDigest identifies the prompt
 * @param promptTokens length of the prompt
 * @param cachedTokens part found in the cache
 * @param heldElsewhereTokens part not in the cache although another engine held it, which is wasted
 *     recomputation
 * @param startedAtMicros when prefill began, by the engine's clock
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
