package org.lockdale.gateway.quarantine;

/** What shows that a back end has ended, as opposed to a connection to it. */
enum CrashEvidence {
  /** Its address refuses connections; seen within milliseconds. */
  REFUSES_CONNECTIONS,
  /**
   * Its address takes connections and closes them at once, twice in a row; seen within 0.6 s. A
   * server with all connections it takes does the same, so an answer to a later attempt takes the
   * end back.
   */
  CLOSES_CONNECTIONS,
  /** Another incarnation is on record at its address; seen seconds later. */
  REPLACED,
  /** Its record is gone though it never said that it was leaving; seen seconds later. */
  RECORD_GONE
}
