package org.lockdale.coordination.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * The requests that may share cached blocks: those of one tenant, for one model and adapter at one
 * weights version.
 *
 * @param tenant tenant name
 * @param model model name
 * @param adapter adapter name with its version, or an empty string
 * @param weightsVersion version of the model's weights
 */
public record CacheScope(String tenant, String model, String adapter, String weightsVersion) {

  private static final char SEPARATOR = '\u0000';

  /** Returns a hash that differs between scopes. */
  public long hash() {
    String joined = tenant + SEPARATOR + model + SEPARATOR + adapter + SEPARATOR + weightsVersion;
    return LongHashFunction.xx3().hashChars(joined);
  }
}
