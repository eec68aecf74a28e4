package org.lockdale.gateway.quarantine;

/** What shows that a backend has crashed, rather than that a connection to it broke. */
enum CrashEvidence {
  /** Its address refuses connections; seen within milliseconds. */
  REFUSES_CONNECTIONS,
  /**
   * Its address takes connections and closes them at once, twice in a row; seen within 0.6 s. A
   * server that has reached its connection limit does the same, so a response to a later attempt
   * retracts the crash.
   */
  CLOSES_CONNECTIONS,
  /** A record of another incarnation exists for its address; seen seconds later. */
  REPLACED,
  /** Its record is gone although it never announced that it was draining; seen seconds later. */
  RECORD_GONE
}
