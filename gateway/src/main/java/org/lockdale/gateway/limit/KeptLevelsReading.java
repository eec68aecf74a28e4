package org.lockdale.gateway.limit;

import org.jspecify.annotations.Nullable;

/**
 * Result of reading the row of stored levels.
 *
 * @param row the row, or null if there is none or it cannot be decoded
 * @param version version of the row, to be given as the condition of the next write
 * @param storeMillis time of the store's steady clock in the response
 */
public record KeptLevelsReading(@Nullable KeptLevels row, long version, long storeMillis) {}
