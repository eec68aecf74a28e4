package org.lockdale.emulator.engine;

/**
 * Token counts of an attempt.
 *
 * @param promptTokens length of the prompt in tokens
 * @param cachedTokens prompt tokens found in the cache
 * @param completionTokens generated tokens
 */
public record EngineUsage(int promptTokens, int cachedTokens, int completionTokens) {}
