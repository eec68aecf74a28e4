package org.lockdale.soak.judge;

/** What may be done with a request that has failed. */
public enum RequestKind {
  /** May run any number of times. */
  SAFE(true, false),
  /** May run once. */
  UNSAFE(false, false),
  /** A stream that may run once. */
  STREAM(false, true),
  /** A stream that another server may continue. */
  RESUMABLE(true, true);

  private final boolean idempotent;
  private final boolean streaming;

  RequestKind(boolean idempotent, boolean streaming) {
    this.idempotent = idempotent;
    this.streaming = streaming;
  }

  /** Returns whether more than one run does no harm. */
  public boolean isIdempotent() {
    return idempotent;
  }

  /** Returns whether the answer is a series of events. */
  public boolean isStreaming() {
    return streaming;
  }
}
