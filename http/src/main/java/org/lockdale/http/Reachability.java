package org.lockdale.http;

/** What a peer does with a new connection. */
public enum Reachability {
  /** It takes the connection: a process listens at the address. */
  ACCEPTS,
  /**
   * It takes the connection and closes it at once, without a byte: as a proxy does before a process
   * that is gone, and a server that has all connections it takes.
   */
  CLOSES,
  /** It refuses the connection at once: the machine answers, and no process listens. */
  REFUSES,
  /** No answer came, or the connection failed in another way; it tells nothing of the process. */
  UNKNOWN
}
