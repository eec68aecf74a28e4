package org.lockdale.emulator.engine;

/**
 * Result of submitting a request to an engine; all but {@link #ACCEPTED} mean that it did not run.
 */
public enum SubmitResult {
  /** The request is queued. */
  ACCEPTED(200),
  /** The sender expected another incarnation; the engine was restarted. */
  INCARNATION_MISMATCH(409),
  /** The engine has loaded another weights version. */
  WEIGHTS_MISMATCH(409),
  /** The engine has not loaded the model. */
  MODEL_NOT_LOADED(404),
  /** The engine is draining. */
  LEAVING(503),
  /** The attempt was cancelled before it arrived. */
  TOMBSTONED(409),
  /** An attempt with this id was already accepted. */
  DUPLICATE_ATTEMPT(409),
  /** The queue is full. */
  QUEUE_FULL(429);

  private final int status;

  SubmitResult(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns the error code in the body of the response. */
  public String code() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
