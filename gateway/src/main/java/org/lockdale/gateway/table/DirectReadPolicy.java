package org.lockdale.gateway.table;

/**
 * Decides when a node that is not a relay reads a table from the store itself: when relays have not
 * proven its copy for longer than an age, whatever the reason. Relays may be down, cut off from the
 * store or from this node, or announce changes that can't be read from them; a change may have been
 * acknowledged at any time since the last proof. A state machine without I/O; not safe for use by
 * several threads.
 */
final class DirectReadPolicy {

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long maxProofAgeMillis;
  private long relayProofMillis = NEVER;
  private long requestedUntilMillis = NEVER;

  /**
   * Creates a policy.
   *
   * @param maxProofAgeMillis age of the latest proof from a relay up to which the copy is trusted
   */
  DirectReadPolicy(long maxProofAgeMillis) {
    this.maxProofAgeMillis = maxProofAgeMillis;
  }

  /**
   * Records a proof by a relay, or by the first scan, after which relays get time to take over.
   *
   * @param provenAtMillis monotonic time at which the copy was current
   */
  void onProof(long provenAtMillis) {
    relayProofMillis = Math.max(relayProofMillis, provenAtMillis);
  }

  /** Requests direct reads until a time, whatever the age of the proof. */
  void requestUntil(long millis) {
    requestedUntilMillis = Math.max(requestedUntilMillis, millis);
  }

  /** Returns whether the table is to be read from the store. */
  boolean isDue(long nowMillis) {
    return nowMillis >= dueAtMillis() || nowMillis < requestedUntilMillis;
  }

  /** Returns the monotonic time from which the age of the latest proof requires direct reads. */
  long dueAtMillis() {
    return relayProofMillis + maxProofAgeMillis;
  }
}
