package org.lockdale.gateway.rate;

/**
 * A request that this node sends to a backend that advertises a rate, from its send until its
 * response begins or its attempt ends without one.
 */
public final class RateSend {

  /** How the wait for the response ended. */
  public enum End {
    /** The response began. */
    ANSWERED,
    /** Nothing of the request was sent. */
    NOT_SENT,
    /** The connection was closed by the backend's side. */
    CLOSED,
    /** This node gave the attempt up; the backend may still receive the request. */
    GIVEN_UP
  }

  private final String backend;
  private final String request;
  private final String grantedBy;
  private final long sentAtMillis;

  /**
   * Creates a send.
   *
   * @param backend text form of the backend's incarnation
   * @param request id of the request
   * @param grantedBy id of the relay that placed the request, or an empty text for this node
   * @param sentAtMillis monotonic time of the send
   */
  RateSend(String backend, String request, String grantedBy, long sentAtMillis) {
    this.backend = backend;
    this.request = request;
    this.grantedBy = grantedBy;
    this.sentAtMillis = sentAtMillis;
  }

  /** Returns the text form of the backend's incarnation. */
  String backend() {
    return backend;
  }

  /** Returns the id of the request. */
  String request() {
    return request;
  }

  /** Returns the id of the relay that placed the request, or an empty text for this node. */
  String grantedBy() {
    return grantedBy;
  }

  /** Returns the monotonic time of the send, in milliseconds. */
  long sentAtMillis() {
    return sentAtMillis;
  }
}
