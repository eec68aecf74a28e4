package org.lockdale.http;

/** Serves the requests of an {@link HttpServer}; called on the connection's event loop. */
public interface HttpHandler {

  /**
   * Serves one request. The handler must end the exchange exactly once, now or later.
   *
   * @param exchange the request and the means to answer it
   */
  void handle(HttpExchange exchange);

  /**
   * Renders the answer to a request that broke a rule of the protocol or a limit of the server.
   *
   * @param error what was wrong
   * @return the whole reply; the connection is closed after it
   */
  HttpReply renderProtocolError(HttpProtocolError error);
}
