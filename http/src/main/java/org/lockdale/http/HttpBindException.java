package org.lockdale.http;

import java.net.InetSocketAddress;

/** Thrown when a server can't listen on its address. */
public final class HttpBindException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param address the address that can't be bound
   * @param cause reason why it can't be bound
   */
  public HttpBindException(InetSocketAddress address, Throwable cause) {
    super(
        "Can't listen on "
            + address
            + " ("
            + cause.getMessage()
            + "); choose a free port or stop the process that holds it.",
        cause);
  }
}
