package org.lockdale.emulator.engine;

import org.lockdale.coordination.placement.PrefixChain;

/**
 * A request as an engine takes it.
 *
 * @param attemptId unique for each dispatch
 * @param expectedIncarnation incarnation the sender believes in, or an empty string for any
 * @param model model name
 * @param weightsVersion weights version the sender believes in, or an empty string for any
 * @param owner what the cached blocks belong to in truth (tenant, model, weights), against which
 *     every reuse is checked
 * @param chain prefix blocks, hashed with the salt that the sender gave
 * @param promptDigest identifies the prompt and decides the answer
 * @param promptTokens length of the prompt
 * @param maxTokens length of the answer
 * @param priority higher runs first
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
