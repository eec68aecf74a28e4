package org.lockdale.emulator.engine;

import org.lockdale.coordination.placement.PrefixChain;

/**
 * A request to an engine.
 *
 * @param attemptId unique for each dispatch
 * @param expectedIncarnation incarnation that the sender expects, or an empty string for any
 * @param model model name
 * @param weightsVersion weights version that the sender expects, or an empty string for any
 * @param owner actual owner of the cached blocks (tenant, model and loaded weights), against which
 *     every reuse is checked
 * @param chain prefix blocks, hashed with the cache salt that the sender chose
 * @param promptDigest digest of the prompt; determines the response text
 * @param promptTokens length of the prompt in tokens
 * @param maxTokens length of the response in tokens
 * @param priority higher priorities run first
 */
public record EngineRequest(
    String attemptId,
    String expectedIncarnation,
    String model,
    String weightsVersion,
    String owner,
    PrefixChain chain,
    long promptDigest,
    int promptTokens,
    int maxTokens,
    int priority) {}
