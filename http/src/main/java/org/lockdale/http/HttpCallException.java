package org.lockdale.http;

/** A call that did not bring a whole reply. */
public final class HttpCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** How far a failed call had come. */
  public enum Stage {
    /** No byte of the request left this process, so the peer can't have acted on it. */
    NOT_SENT,
    /** The request may have reached the peer; no reply came. */
    NO_REPLY,
    /** The reply broke off. */
    BROKEN_REPLY
  }

  private final Stage stage;

  HttpCallException(Stage stage, String message) {
    super(message, null, false, false);
    this.stage = stage;
  }

  /** Returns how far the call had come. */
  public Stage stage() {
    return stage;
  }
}
