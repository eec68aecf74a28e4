package org.lockdale.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to be sent by {@link HttpClient}.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers request headers; host, unless present, and content length are added when the
 *     request is sent
 * @param body request body
 */
public record HttpRequestMessage(HttpMethod method, String path, HttpHeaders headers, byte[] body) {

  private static final byte[] EMPTY = new byte[0];

  /** Returns a {@code GET} request without a body. */
  public static HttpRequestMessage get(String path) {
    return new HttpRequestMessage(HttpMethod.GET, path, new DefaultHttpHeaders(), EMPTY);
  }

  /** Returns a request with a JSON body. */
  public static HttpRequestMessage json(HttpMethod method, String path, byte[] body) {
    HttpHeaders headers = new DefaultHttpHeaders().set("content-type", HttpReply.JSON);
    return new HttpRequestMessage(method, path, headers, body);
  }

  /** Sets a header and returns this request. */
  public HttpRequestMessage with(CharSequence name, Object value) {
    headers.set(name, value);
    return this;
  }
}
