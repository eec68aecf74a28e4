package org.lockdale.http;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Limits of one {@link HttpServer}; every buffer that a stranger can fill is bounded here.
 *
 * @param listenAddress address to bind; port 0 takes a free port
 * @param maxHeaderBytes largest total size of request headers, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param requestTimeout longest time between the first byte of a request and its last
 * @param idleTimeout longest time a connection may stay open without a request
 * @param maxConnections most connections open at once; further ones are closed on arrival
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

  /** Returns these settings with another bound of connections. */
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
