package org.lockdale.gateway.request;

import org.lockdale.http.HttpCallException;

/** Result of an attempt at one backend. */
enum AttemptResult {
  /** The complete response was forwarded to the caller. */
  COMPLETE,
  /** The request did not leave this node. */
  NOT_SENT,
  /**
   * The request did not leave this node, since the backend accepts no requests now or this node's
   * connections to it are used up.
   */
  WITHDRAWN,
  /** The backend reported that it did not and will not run the request. */
  NOT_RUN,
  /**
   * As {@link #NOT_RUN}, because the backend is another incarnation or has other weights than
   * expected.
   */
  MISDIRECTED,
  /** The backend may have run the request, and nothing was forwarded to the caller. */
  FAILED,
  /** A stream broke after a part of it was forwarded. */
  BROKEN_OFF;

  /**
   * Returns the result of a call that has failed.
   *
   * @param withdrawn whether the attempt was withdrawn before anything was sent
   * @param ifSent the result if the request may have reached the backend
   */
  static AttemptResult ofFailure(HttpCallException cause, boolean withdrawn, AttemptResult ifSent) {
    if (withdrawn || cause.isAtConnectionLimit()) {
      return WITHDRAWN;
    }
    return cause.stage() == HttpCallException.Stage.NOT_SENT ? NOT_SENT : ifSent;
  }
}
