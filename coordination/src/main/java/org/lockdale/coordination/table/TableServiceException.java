package org.lockdale.coordination.table;

/** A call to the table service that brought no result. */
public final class TableServiceException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What is known of a call without a result. */
  public enum Kind {
    /** The row's state did not meet the condition; nothing was written. */
    CONDITION_FAILED,
    /** The service refused the call for its rate; nothing was written. */
    RATE_LIMITED,
    /** The changes that were asked for are forgotten; the table must be read whole. */
    HISTORY_LOST,
    /** The call did not reach the service; nothing was written. */
    UNREACHABLE,
    /** No answer came; the write may have taken effect or may still do so. */
    OUTCOME_UNKNOWN
  }

  private final Kind kind;

  /**
   * Creates a failure.
   *
   * @param kind what is known of the call
   * @param message what happened
   */
  public TableServiceException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns what is known of the call. */
  public Kind kind() {
    return kind;
  }

  /** Returns whether the same call may succeed later. */
  public boolean isRetriable() {
    return kind != Kind.CONDITION_FAILED;
  }
}
