package org.lockdale.gateway.cache;

/**
 * What an engine lacks of a prompt's shared parts.
 *
 * @param fetchable tokens that another holder has
 * @param recomputed tokens that another engine is about to compute, and that would be computed
 *     twice
 * @param unknown tokens that nobody is known to have or compute
 */
public record PrefixNeed(long fetchable, long recomputed, long unknown) {

  /** Returns the tokens that the engine would compute itself. */
  public long computed() {
    return recomputed + unknown;
  }
}
