package org.lockdale.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * A request to be sent by {@link HttpClient}.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers request headers; host, unless present, and content length are added when the
 *     request is sent
 * @param body request body
 * @param connectionGroup name of the calls that may share a connection with this one
 * @param echoedId id that the reply repeats; null if the peer repeats none, so that whatever comes
 *     next is taken for the reply
 */
public record HttpRequestMessage(
    HttpMethod method,
    String path,
    HttpHeaders headers,
    byte[] body,
    String connectionGroup,
    @Nullable EchoedId echoedId) {

  /** Group of the requests for which none is set. */
  static final String DEFAULT_GROUP = "";

  private static final byte[] EMPTY = new byte[0];

  /** Creates a request whose reply repeats no id. */
  public HttpRequestMessage(HttpMethod method, String path, HttpHeaders headers, byte[] body) {
    this(method, path, headers, body, DEFAULT_GROUP, null);
  }

  /** Creates a request whose reply repeats its id. */
  public HttpRequestMessage(
      HttpMethod method, String path, HttpHeaders headers, byte[] body, EchoedId echoedId) {
    this(method, path, headers, body, DEFAULT_GROUP, echoedId);
  }

  /** Returns a {@code GET} request without a body. */
  public static HttpRequestMessage get(String path) {
    return new HttpRequestMessage(HttpMethod.GET, path, new DefaultHttpHeaders(), EMPTY);
  }

  /** Returns a request with a JSON body. */
  public static HttpRequestMessage json(HttpMethod method, String path, byte[] body) {
    HttpHeaders headers = new DefaultHttpHeaders().set("content-type", HttpReply.JSON);
    return new HttpRequestMessage(method, path, headers, body);
  }

  /**
   * Returns this request with a group of connections. Calls whose replies could be taken for one
   * another are in different groups.
   */
  public HttpRequestMessage inGroup(String group) {
    return new HttpRequestMessage(method, path, headers, body, group, echoedId);
  }

  /** Sets a header and returns this request. */
  public HttpRequestMessage with(CharSequence name, Object value) {
    headers.set(name, value);
    return this;
  }
}
