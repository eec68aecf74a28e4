package org.lockdale.http;

/** Thrown when a call ends without a complete reply. */
public final class HttpCallException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** How far a call had progressed when it failed. */
  public enum Stage {
    /** No byte of the request left this process, so the peer can't have acted on it. */
    NOT_SENT,
    /**
     * The request may have reached the peer, but no valid head of a reply was received, or the
     * reply was not complete within the timeout of {@link HttpClient#exchange}.
     */
    NO_REPLY,
    /** The reply ended before it was complete, was invalid after its head, or was too large. */
    BROKEN_REPLY
  }

  private final Stage stage;
  private final boolean closedByPeer;
  private final boolean atConnectionLimit;

  HttpCallException(Stage stage, String message) {
    this(stage, false, false, message);
  }

  HttpCallException(Stage stage, boolean closedByPeer, String message) {
    this(stage, closedByPeer, false, message);
  }

  private HttpCallException(
      Stage stage, boolean closedByPeer, boolean atConnectionLimit, String message) {
    super(message, null, false, false);
    this.stage = stage;
    this.closedByPeer = closedByPeer;
    this.atConnectionLimit = atConnectionLimit;
  }

  /** Returns the failure of a call that would have exceeded its limit of connections. */
  static HttpCallException atConnectionLimit(String message) {
    return new HttpCallException(Stage.NOT_SENT, false, true, message);
  }

  /** Returns how far the call had progressed. */
  public Stage stage() {
    return stage;
  }

  /** Returns whether the call was not sent because its limit of connections was reached. */
  public boolean isAtConnectionLimit() {
    return atConnectionLimit;
  }

  /**
   * Returns whether the peer or the network closed the connection; if not, this process ended the
   * call, or the peer has become silent.
   */
  public boolean isClosedByPeer() {
    return closedByPeer;
  }
}
