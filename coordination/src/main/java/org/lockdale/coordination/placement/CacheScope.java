package org.lockdale.coordination.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * The scope in which requests may share cached blocks: one tenant, one model and adapter, and one
 * version of the weights.
 *
 * @param tenant tenant name
 * @param model model name
 * @param adapter adapter name with its version; an empty string for none
 * @param weightsVersion version of the model's weights
 */
public record CacheScope(String tenant, String model, String adapter, String weightsVersion) {

  private static final char SEPARATOR = '\u0000';

  /** Returns a 64-bit hash of all parts of the scope. */
  public long hash() {
    String joined = tenant + SEPARATOR + model + SEPARATOR + adapter + SEPARATOR + weightsVersion;
    return LongHashFunction.xx3().hashChars(joined);
  }
}
