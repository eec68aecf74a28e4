package org.lockdale.gateway.cache;

/**
 * Shared parts of a prompt that an engine lacks, in tokens.
 *
 * @param fetchable tokens that another holder has
 * @param recomputed tokens that another engine is about to compute, and that would be computed
 *     twice
 * @param unknown tokens that no holder is known to have or to compute
 */
public record MissingPrefix(long fetchable, long recomputed, long unknown) {

  /** Returns the number of tokens that the engine would have to compute. */
  public long computed() {
    return recomputed + unknown;
  }
}
