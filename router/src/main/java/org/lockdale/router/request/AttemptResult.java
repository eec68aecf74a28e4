package org.lockdale.router.request;

/** Result of one attempt. */
sealed interface AttemptResult {

  /** The caller was sent the complete response. */
  record Complete() implements AttemptResult {}

  /**
   * The attempt did not run and never will.
   *
   * @param reason why it did not run
   */
  record NotStarted(String reason) implements AttemptResult {}

  /**
   * The attempt may have run; no part of its response reached the caller.
   *
   * @param reason what went wrong
   */
  record Failed(String reason) implements AttemptResult {}

  /**
   * The response was interrupted after a part of it had reached the caller.
   *
   * @param reason what went wrong
   */
  record Interrupted(String reason) implements AttemptResult {}

  /**
   * The attempt was cancelled and may have run.
   *
   * @param reason why: the deadline passed, or the caller disconnected or reads too slowly
   */
  record Cancelled(String reason) implements AttemptResult {}
}
