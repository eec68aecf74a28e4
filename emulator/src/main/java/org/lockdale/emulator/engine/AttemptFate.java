package org.lockdale.emulator.engine;

/** State of an attempt, as an engine reports it in reply to a query or a cancellation. */
public enum AttemptFate {
  /** It has not run; where it was cancelled, a tombstone ensures that it never will. */
  NEVER_STARTED,
  /** It is running. */
  RUNNING,
  /** It ran in part and was cancelled. */
  CANCELLED,
  /** It generated all its tokens. */
  FINISHED
}
