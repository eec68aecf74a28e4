package org.lockdale.soak.judge;

/** Whether and how a request may be run again after a failure. */
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

  /** Returns whether the request may run more than once. */
  public boolean isIdempotent() {
    return idempotent;
  }

  /** Returns whether the response is a stream of events. */
  public boolean isStreaming() {
    return streaming;
  }
}
