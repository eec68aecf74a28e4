package org.lockdale.gateway.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lockdale.gateway.caller.MalformedRequestException;
import org.lockdale.http.HttpExchange;

/** Headers of the requests that one node forwards to another, and of their responses. */
final class ForwardHeaders {

  /** Time since the request has arrived at the first node, in milliseconds. */
  private static final String ELAPSED = "x-lockdale-elapsed-ms";

  /** The {@code Connection} header of the caller, which names its hop-by-hop headers. */
  private static final String CONNECTION = "x-lockdale-connection";

  /**
   * On each response to a forwarded request: {@link #FROM_BACKEND}, or the kind of refusal if the
   * second node itself has produced it. A response without it is from a node that does not support
   * forwarding.
   */
  private static final String ORIGIN = "x-lockdale-origin";

  private static final String FROM_BACKEND = "backend";

  /**
   * On each forwarded request and its response: version of the configuration by which the sender
   * has handled it.
   */
  private static final String CONFIGURATION = "x-lockdale-configuration";

  /** Names of headers that only nodes may set. */
  static final List<String> INTERNAL = List.of(ELAPSED, CONNECTION, ORIGIN, CONFIGURATION);

  /** Headers of the connection between the caller and the first node. */
  private static final List<CharSequence> OF_CONNECTION =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.EXPECT);

  private ForwardHeaders() {}

  /**
   * Returns the headers with which a request is forwarded.
   *
   * @param elapsedMillis time since the request has arrived at this node
   * @param configuration version of the configuration by which this node has handled the request
   */
  static HttpHeaders ofRequest(HttpHeaders received, long elapsedMillis, long configuration) {
    HttpHeaders forwarded = received.copy();
    String connection = String.join(",", received.getAll(HttpHeaderNames.CONNECTION));
    OF_CONNECTION.forEach(forwarded::remove);
    forwarded.remove(CONNECTION);
    if (!connection.isEmpty()) {
      forwarded.set(CONNECTION, connection);
    }
    return forwarded.set(ELAPSED, elapsedMillis).set(CONFIGURATION, configuration);
  }

  /**
   * Removes the headers that the first node has added, and restores those of the caller.
   *
   * @return time since the request has arrived at the first node, in milliseconds
   * @throws MalformedRequestException if the request was not forwarded by a node
   */
  static long restore(HttpExchange exchange) {
    HttpHeaders headers = exchange.headers();
    String elapsed = headers.get(ELAPSED);
    String connection = headers.get(CONNECTION);
    headers.remove(ELAPSED).remove(CONNECTION).remove(CONFIGURATION);
    headers.remove(HttpHeaderNames.CONNECTION);
    if (connection != null) {
      headers.set(HttpHeaderNames.CONNECTION, connection);
    }
    try {
      return Math.max(0, Long.parseLong(elapsed));
    } catch (NumberFormatException malformed) {
      throw new MalformedRequestException(ELAPSED + " is not a number of milliseconds.");
    }
  }

  /** Returns whether a node has forwarded a request; to be trusted from other nodes only. */
  static boolean isForwarded(HttpExchange exchange) {
    return exchange.header(ELAPSED) != null;
  }

  /**
   * Marks a response to a forwarded request as that of a backend.
   *
   * @param configuration version of the configuration by which this node has handled the request
   */
  static void markResponse(HttpHeaders response, long configuration) {
    response.set(ORIGIN, FROM_BACKEND).set(CONFIGURATION, configuration);
  }

  /**
   * Marks a response to a forwarded request as a refusal of this node.
   *
   * @param configuration version of the configuration by which this node has handled the request
   */
  static void markRefusal(HttpHeaders response, RefusalKind kind, long configuration) {
    response.set(ORIGIN, kind.name()).set(CONFIGURATION, configuration);
  }

  /** Returns whether a response is from a node that supports forwarding. */
  static boolean isMarked(HttpHeaders response) {
    return response.contains(ORIGIN);
  }

  /**
   * Returns the version of the configuration by which another node has handled a request, or empty
   * if the headers do not name it.
   *
   * @param headers headers of the forwarded request, before {@link #restore}, or of its response
   */
  static OptionalLong configurationOf(HttpHeaders headers) {
    String version = headers.get(CONFIGURATION);
    try {
      return version == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(version));
    } catch (NumberFormatException malformed) {
      return OptionalLong.empty();
    }
  }

  /** Returns the kind of a refusal that another node has produced, or empty for other responses. */
  static Optional<RefusalKind> refusalOf(HttpHeaders response) {
    String origin = response.get(ORIGIN);
    return Arrays.stream(RefusalKind.values())
        .filter(kind -> kind.name().equals(origin))
        .findFirst();
  }

  /** Returns the headers of another node's response that are passed on to the caller. */
  static HttpHeaders ofResponse(HttpHeaders received) {
    return EndToEndHeaders.of(received, Set.of());
  }
}
