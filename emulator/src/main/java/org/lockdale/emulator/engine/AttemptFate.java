package org.lockdale.emulator.engine;

/** What an engine knows of an attempt it is asked about or told to cancel. */
public enum AttemptFate {
  /** It did not run; a tombstone makes sure that it never will. */
  NEVER_STARTED,
  /** It is running. */
  RUNNING,
  /** It ran in part and was cancelled. */
  CANCELLED,
  /** It ran to its end. */
  FINISHED
}
