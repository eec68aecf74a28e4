package org.lockdale.router.peer;

import java.net.InetSocketAddress;

/** Thrown if the port for node-to-node messages can't be bound. */
public final class PeerBindException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  PeerBindException(InetSocketAddress address, Throwable cause) {
    super(
        "Can't listen for peers on "
            + address
            + " ("
            + cause.getMessage()
            + "); set peers.port to a port that is free for UDP and TCP.",
        cause);
  }
}
