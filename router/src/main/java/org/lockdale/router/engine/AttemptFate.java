package org.lockdale.router.engine;

/** What an engine says became of an attempt. */
public enum AttemptFate {
  /** It did not run and, once cancelled, never will. */
  NEVER_STARTED,
  /** It is running. */
  RUNNING,
  /** It ran in part. */
  CANCELLED,
  /** It ran to its end. */
  FINISHED,
  /** Nobody can tell. */
  UNKNOWN;

  static AttemptFate parse(String text) {
    for (AttemptFate fate : values()) {
      if (fate.name().equals(text)) {
        return fate;
      }
    }
    return UNKNOWN;
  }
}
