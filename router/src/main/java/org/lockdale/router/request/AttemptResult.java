package org.lockdale.router.request;

/** How one attempt ended. */
sealed interface AttemptResult {

  /** The caller has the whole answer. */
  record Complete() implements AttemptResult {}

  /**
   * The attempt did not run and never will.
   *
   * @param reason what the engine said
   */
  record NotStarted(String reason) implements AttemptResult {}

  /**
   * The attempt may have run, and nothing of it reached the caller.
   *
   * @param reason what went wrong
   */
  record Failed(String reason) implements AttemptResult {}

  /**
   * The attempt ran and its answer broke off after a part of it reached the caller.
   *
   * @param reason what went wrong
   */
  record BrokenOff(String reason) implements AttemptResult {}

  /** The deadline passed or the caller left. */
  record GivenUp(String reason) implements AttemptResult {}
}
