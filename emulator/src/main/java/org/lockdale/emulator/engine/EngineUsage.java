package org.lockdale.emulator.engine;

/**
 * What an attempt cost.
 *
 * @param promptTokens length of the prompt
 * @param cachedTokens part of the prompt that was found in the cache
 * @param completionTokens tokens generated
 */
public record EngineUsage(int promptTokens, int cachedTokens, int completionTokens) {}
