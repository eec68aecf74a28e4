package org.lockdale.http;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Address and limits of an {@link HttpServer}. They bound every buffer that an untrusted client can
 * fill.
 *
 * @param listenAddress address to bind; port 0 selects a free port
 * @param maxHeaderBytes maximum total size of the request headers, and of the request line, in
 *     bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param requestTimeout maximum time between the head of a request and its last byte
 * @param idleTimeout time without received data after which a connection that has no request is
 *     closed
 * @param maxConnections maximum number of open connections; further ones are closed on arrival
 */
public record HttpServerSettings(
    InetSocketAddress listenAddress,
    int maxHeaderBytes,
    int maxBodyBytes,
    Duration requestTimeout,
    Duration idleTimeout,
    int maxConnections) {

  private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(90);
  private static final int DEFAULT_MAX_CONNECTIONS = 16_384;

  /** Returns settings with the default limits for an address. */
  public static HttpServerSettings forAddress(InetSocketAddress listenAddress) {
    return new HttpServerSettings(
        listenAddress,
        DEFAULT_MAX_HEADER_BYTES,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_REQUEST_TIMEOUT,
        DEFAULT_IDLE_TIMEOUT,
        DEFAULT_MAX_CONNECTIONS);
  }

  /** Returns a copy of these settings with another maximum number of connections. */
  public HttpServerSettings withMaxConnections(int newMaxConnections) {
    return new HttpServerSettings(
        listenAddress,
        maxHeaderBytes,
        maxBodyBytes,
        requestTimeout,
        idleTimeout,
        newMaxConnections);
  }
}
