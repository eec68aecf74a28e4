package org.lockdale.gateway.capacity;

/**
 * What an attempt asks of its engine.
 *
 * @param reservedTokens prompt tokens and expected output tokens
 * @param computedTokens prompt tokens that the engine probably has to compute
 * @param waitingTokens prompt tokens that wait at the engine ahead of it
 * @param openRequests requests that are open at the engine, as known to this node
 */
public record AttemptLoad(
    long reservedTokens, long computedTokens, long waitingTokens, int openRequests) {

  /** Checks the values. */
  public AttemptLoad {
    if (reservedTokens < 0) {
      throw new IllegalArgumentException(
          "reserved tokens must not be negative, but are " + reservedTokens);
    }
  }
}
