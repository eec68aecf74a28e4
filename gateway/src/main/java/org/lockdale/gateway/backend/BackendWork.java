package org.lockdale.gateway.backend;

/**
 * Work at one backend.
 *
 * @param waitingTokens tokens of prompts whose responses have not started
 * @param runningTokens tokens of prompts whose responses have started and not ended
 * @param openRequests requests that have not ended
 */
public record BackendWork(long waitingTokens, long runningTokens, int openRequests) {

  /** No work. */
  public static final BackendWork NONE = new BackendWork(0, 0, 0);

  /** Returns whether there is no work. */
  public boolean isNone() {
    return waitingTokens == 0 && runningTokens == 0 && openRequests == 0;
  }

  /** Returns the sum of this work and other work. */
  public BackendWork plus(BackendWork other) {
    return new BackendWork(
        waitingTokens + other.waitingTokens,
        runningTokens + other.runningTokens,
        openRequests + other.openRequests);
  }

  /** Returns this work minus a part of it. */
  public BackendWork minus(BackendWork part) {
    return new BackendWork(
        waitingTokens - part.waitingTokens,
        runningTokens - part.runningTokens,
        openRequests - part.openRequests);
  }
}
