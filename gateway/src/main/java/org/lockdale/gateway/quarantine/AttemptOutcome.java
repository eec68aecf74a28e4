package org.lockdale.gateway.quarantine;

/** What the node that recorded an attempt knows of its outcome once it has concluded it. */
public enum AttemptOutcome {
  /** Its backend has not crashed because of it. */
  NOT_LOST,

  /** Its connection was closed, which its node counts as a crash and reports to the others. */
  REPORTED,

  /** Its node gave it up, or its connection became silent, so its backend may have crashed. */
  UNKNOWN
}
