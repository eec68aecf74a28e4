package org.lockdale.http;

/** How a peer reacts to a new connection. */
public enum Reachability {
  /** It accepts the connection: a process listens at the address. */
  ACCEPTS,
  /**
   * It accepts the connection and closes it at once without sending anything, as does a proxy whose
   * target process has ended, or a server at its limit of connections.
   */
  CLOSES,
  /** It refuses the connection at once: the host is reachable, and no process listens. */
  REFUSES,
  /** The attempt timed out or failed in another way, so nothing is known about the process. */
  UNKNOWN
}
