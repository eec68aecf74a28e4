package org.lockdale.emulator.engine;

/**
 * Answer of an engine to a request offered to it; all but {@link #ACCEPTED} mean that nothing ran.
 */
public enum SubmitResult {
  /** The request is queued. */
  ACCEPTED(200),
  /** The engine was restarted since the sender heard of it. */
  INCARNATION_MISMATCH(409),
  /** The engine holds another weights version. */
  WEIGHTS_MISMATCH(409),
  /** The engine does not hold the model. */
  MODEL_NOT_LOADED(404),
  /** The engine takes no new work. */
  LEAVING(503),
  /** The attempt was cancelled before it arrived. */
  TOMBSTONED(409),
  /** The attempt arrived before. */
  DUPLICATE_ATTEMPT(409),
  /** The queue is full. */
  QUEUE_FULL(429);

  private final int status;

  SubmitResult(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }

  /** Returns the code in the answer's body. */
  public String code() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
