package org.lockdale.gateway.quarantine;

/** What this process knows of an attempt that another process has recorded. */
final class ForeignAttempt {

  /**
   * Delay before the node that recorded an attempt is asked about it. Within this time a node that
   * runs has concluded most attempts, or has notified the others of a crash.
   */
  private static final long ASK_DELAY_MILLIS = 250;

  /** Interval at which a node is asked again, as it may have been killed since. */
  private static final long ASK_INTERVAL_MILLIS = 500;

  /** The same while the attempt is not known to be in progress. */
  private static final long ASK_AGAIN_INTERVAL_MILLIS = 2_000;

  /**
   * Time after the end of its backend after which an attempt counts if its node hasn't answered.
   */
  private static final long ANSWER_MILLIS = 1_000;

  /**
   * The same if its node has answered since that it is in progress: it may run on the next
   * incarnation, or something holds its connection open.
   */
  private static final long CONFIRMED_MILLIS = 3_000;

  private static final long NEVER = Long.MAX_VALUE / 2;

  private final long readAtMillis;
  private boolean inProgress;
  private long unknownSinceMillis;
  private long askAtMillis;
  private boolean asking;
  private long endedAtMillis = NEVER;
  private boolean confirmedSinceEnd;
  private boolean reported;
  private boolean outlived;

  /**
   * Creates the state of an attempt whose row was just read.
   *
   * @param inProgress whether its node is assumed to have it in progress until it has been asked
   */
  ForeignAttempt(long nowMillis, boolean inProgress) {
    this.readAtMillis = nowMillis;
    this.unknownSinceMillis = nowMillis;
    this.askAtMillis = nowMillis + ASK_DELAY_MILLIS;
    this.inProgress = inProgress;
  }

  /** Returns the monotonic time at which its row was first read. */
  long readAtMillis() {
    return readAtMillis;
  }

  /** Returns whether it is assumed or known to be in progress. */
  boolean isInProgress() {
    return inProgress;
  }

  /** Returns the monotonic time since which its outcome is unknown. */
  long unknownSinceMillis() {
    return unknownSinceMillis;
  }

  /** Returns the monotonic time from which on its node may be asked. */
  long askAtMillis() {
    return askAtMillis;
  }

  /** Returns whether its node is being asked. */
  boolean isAsking() {
    return asking;
  }

  /** Records that its node is being asked. */
  void recordQuestion() {
    asking = true;
  }

  /**
   * Records what its node has answered.
   *
   * @return whether this changes {@link #isInProgress}
   */
  boolean recordAnswer(boolean nowInProgress, long nowMillis) {
    asking = false;
    confirmedSinceEnd = nowInProgress && endedAtMillis <= nowMillis;
    askAtMillis = nowMillis + (nowInProgress ? ASK_INTERVAL_MILLIS : ASK_AGAIN_INTERVAL_MILLIS);
    if (nowInProgress || inProgress) {
      unknownSinceMillis = nowMillis;
    }
    outlived &= !nowInProgress;
    boolean changed = inProgress != nowInProgress;
    inProgress = nowInProgress;
    return changed;
  }

  /** Records that its backend has ended. */
  void recordEnd(long nowMillis) {
    endedAtMillis = Math.min(endedAtMillis, nowMillis);
  }

  /** Records that its backend lived on after it was last known to be in progress. */
  void recordOutlived() {
    outlived = true;
  }

  /** Returns whether its backend lived on after it, as far as is known. */
  boolean isOutlived() {
    return outlived;
  }

  /** Returns whether its backend has ended and it doesn't count as a crash yet. */
  boolean hasUncountedEnd() {
    return endedAtMillis < NEVER && !reported;
  }

  /** Returns, once, whether it counts as a crash of its backend, which its node hasn't reported. */
  boolean takeCrash(long nowMillis) {
    long wait = !inProgress ? 0 : confirmedSinceEnd ? CONFIRMED_MILLIS : ANSWER_MILLIS;
    boolean counts = nowMillis - endedAtMillis >= wait;
    boolean isNew = counts && !reported;
    reported |= counts;
    return isNew;
  }
}
