package org.lockdale.http;

/** Handles the requests of an {@link HttpServer}; called on the connection's event loop. */
public interface HttpHandler {

  /**
   * Handles one request. The handler must end the exchange exactly once, during the call or later.
   *
   * @param exchange the request and the means to reply to it
   */
  void handle(HttpExchange exchange);

  /**
   * Renders the reply to a request that violates the protocol or exceeds a limit of the server.
   *
   * @param error what was wrong
   * @return the complete reply; the connection is closed after it
   */
  HttpReply renderProtocolError(HttpProtocolError error);
}
