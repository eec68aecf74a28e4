package org.lockdale.gateway.backend;

/**
 * Work at one back end.
 *
 * @param waitingTokens prompt tokens whose answers have not begun
 * @param runningTokens prompt tokens whose answers have begun and not ended
 * @param openRequests requests that have not ended
 */
public record BackendWork(long waitingTokens, long runningTokens, int openRequests) {

  /** No work. */
  public static final BackendWork NONE = new BackendWork(0, 0, 0);

  /** Returns whether there is no work. */
  public boolean isNone() {
    return waitingTokens == 0 && runningTokens == 0 && openRequests == 0;
  }

  /** Returns this work and other work together. */
  public BackendWork plus(BackendWork other) {
    return new BackendWork(
        waitingTokens + other.waitingTokens,
        runningTokens + other.runningTokens,
        openRequests + other.openRequests);
  }

  /** Returns this work without a part of it. */
  public BackendWork minus(BackendWork part) {
    return new BackendWork(
        waitingTokens - part.waitingTokens,
        runningTokens - part.runningTokens,
        openRequests - part.openRequests);
  }
}
