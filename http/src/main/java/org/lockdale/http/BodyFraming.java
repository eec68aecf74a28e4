package org.lockdale.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** How a receiver knows where the body of a response ends. */
public enum BodyFraming {
  /** There is no body, whatever the headers say. */
  NONE,
  /** The head states the length. */
  CONTENT_LENGTH,
  /** The last chunk ends the body. */
  CHUNKED,
  /**
   * The peer closes the connection after the body, so that an orderly close in the middle of the
   * body looks like its end.
   */
  CLOSE_DELIMITED;

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /**
   * Returns the framing of a response.
   *
   * @param method method of the request
   * @param status status code of the response
   * @param headers headers of the response
   */
  public static BodyFraming of(String method, int status, HttpHeaders headers) {
    if (method.equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED) {
      return NONE;
    }
    if (headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
      return CHUNKED;
    }
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? CONTENT_LENGTH : CLOSE_DELIMITED;
  }

  /**
   * Returns whether the body has a transfer coding other than the chunked one. Such a body can't be
   * decoded here, so its bytes are not those that the peer's handler has written.
   */
  static boolean hasUnknownCoding(String method, int status, HttpHeaders headers) {
    return of(method, status, headers) != NONE
        && headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
            .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
  }
}
