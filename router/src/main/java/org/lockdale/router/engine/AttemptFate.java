package org.lockdale.router.engine;

/** State of an attempt as reported by its engine. */
public enum AttemptFate {
  /** It has not started and, once cancelled, never will. */
  NEVER_STARTED,
  /** It is running. */
  RUNNING,
  /** It was cancelled after it had started. */
  CANCELLED,
  /** It ran to completion. */
  FINISHED,
  /** Its state can't be determined. */
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
