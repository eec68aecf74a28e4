package org.lockdale.http;

import java.net.InetSocketAddress;

/** An address could not be bound. */
public final class HttpBindException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates a failure for an address. */
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
