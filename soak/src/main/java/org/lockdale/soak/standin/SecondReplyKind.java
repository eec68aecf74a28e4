package org.lockdale.soak.standin;

/** How the second reply of a server that answers twice differs from the first one. */
public enum SecondReplyKind {
  /** The server fails at the request, and its second reply is a success. */
  SUCCESS_AFTER_FAILURE,
  /** The server rejects the request, and its second reply is a success. */
  SUCCESS_AFTER_REFUSAL,
  /** The second reply is a failure. */
  FAILURE_AFTER_SUCCESS,
  /** The second reply rejects the request. */
  REFUSAL_AFTER_SUCCESS,
  /** The second reply has another status and no length, and the connection stays open. */
  WITHOUT_LENGTH,
  /** The second reply has another status and an informational head in front of it. */
  INFORMATIONAL_HEAD
}
