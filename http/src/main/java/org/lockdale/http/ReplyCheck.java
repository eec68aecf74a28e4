package org.lockdale.http;

/**
 * Tells replies to a call from surplus replies to earlier calls on the same connection, where no id
 * in the replies does. Called on the event loop of the connection.
 */
@FunctionalInterface
public interface ReplyCheck {

  /** Accepts every reply, for peers that send one reply to each request. */
  ReplyCheck ANY = reply -> true;

  /**
   * Returns whether a reply may belong to the call, as a malformed one may; false if it can only
   * belong to an earlier one.
   *
   * @param reply a complete reply
   */
  boolean accepts(HttpReply reply);
}
