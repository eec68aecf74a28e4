package org.lockdale.coordination.table;

/** Thrown if a call to the table service failed. */
public final class TableServiceException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** The reason of a failure, which indicates whether a write may have taken effect. */
  public enum Kind {
    /** The row did not meet the condition of the write; nothing was written. */
    CONDITION_FAILED,
    /** The service rejected the call because of its rate limit; nothing was written. */
    RATE_LIMITED,
    /** The requested changes are no longer available; the complete table must be read. */
    HISTORY_LOST,
    /** The call did not reach the service; nothing was written. */
    UNREACHABLE,
    /** No reply was received; a write may have taken effect or may still do so. */
    OUTCOME_UNKNOWN
  }

  private final Kind kind;

  /**
   * Creates an exception.
   *
   * @param kind reason of the failure
   * @param message description of the failure
   */
  public TableServiceException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the reason of the failure. */
  public Kind kind() {
    return kind;
  }

  /** Returns whether the same call may succeed later. */
  public boolean isRetriable() {
    return kind != Kind.CONDITION_FAILED;
  }
}
