package org.lockdale.http;

/** Reasons for which a request is rejected before it reaches the handler. */
public enum HttpProtocolError {
  /** The request line, a header or the framing can't be parsed. */
  MALFORMED_REQUEST(400, "The request is not valid HTTP/1.1; check the client library."),
  /** The method asks for a tunnel, which is not a request that has a reply with a body. */
  METHOD_NOT_SUPPORTED(501, "The method CONNECT is not supported; send the request itself."),
  /** The request was not complete within the request timeout. */
  REQUEST_TIMEOUT(408, "The request body arrived too slowly; send it without pauses."),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE(413, "The request body exceeds the limit; shorten the prompt."),
  /** The server holds as many bytes for slow peers and open requests as it may. */
  NO_MEMORY(503, "The request was not run: the server's memory is in use; retry later."),
  /** The headers are larger than the limit. */
  HEADERS_TOO_LARGE(431, "The request headers exceed the limit; send fewer or shorter ones.");

  private final int status;
  private final String remedy;

  HttpProtocolError(int status, String remedy) {
    this.status = status;
    this.remedy = remedy;
  }

  /** Returns the HTTP status code of the reply. */
  public int status() {
    return status;
  }

  /** Returns a sentence that states what is wrong and how to correct it. */
  public String remedy() {
    return remedy;
  }
}
