package org.lockdale.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** How a receiver knows where the body of a response ends. */
public enum BodyFraming {
  /** The head states the length. */
  CONTENT_LENGTH,
  /** The last chunk ends the body. */
  CHUNKED,
  /**
   * The peer closes the connection after the body, so that an orderly close in the middle of the
   * body looks like its end.
   */
  CLOSE_DELIMITED;

  /** Returns the framing that the head of a response declares. */
  public static BodyFraming of(HttpHeaders headers) {
    if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      return CHUNKED;
    }
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? CONTENT_LENGTH : CLOSE_DELIMITED;
  }
}
