package org.lockdale.gateway.request;

import org.lockdale.gateway.caller.MalformedRequestException;
import org.lockdale.http.HttpExchange;

/**
 * A request that has arrived.
 *
 * @param exchange the request
 * @param elapsedMillis time since it has arrived at the node that forwarded it
 * @param fromPeer whether another node has forwarded it
 * @param configuration version of the configuration by which that node has handled it, or {@link
 *     #ANY_CONFIGURATION}
 */
record Arrival(HttpExchange exchange, long elapsedMillis, boolean fromPeer, long configuration) {

  /** The request may be handled by any configuration. */
  private static final long ANY_CONFIGURATION = Long.MIN_VALUE;

  /** Returns the arrival of a caller's request. */
  static Arrival direct(HttpExchange exchange) {
    return new Arrival(exchange, 0, false, ANY_CONFIGURATION);
  }

  /**
   * Returns the arrival of a request that another node has forwarded, and restores its headers.
   *
   * @throws MalformedRequestException if the request was not forwarded by a node
   */
  static Arrival forwarded(HttpExchange exchange) {
    long configuration =
        ForwardHeaders.configurationOf(exchange.headers()).orElse(ANY_CONFIGURATION);
    return new Arrival(exchange, ForwardHeaders.restore(exchange), true, configuration);
  }
}
