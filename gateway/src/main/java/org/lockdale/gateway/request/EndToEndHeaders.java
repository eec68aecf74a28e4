package org.lockdale.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Headers of a request or an answer that are meant for its final recipient, without those that
 * concern one connection only.
 */
public final class EndToEndHeaders {

  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          "proxy-connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.CONTENT_LENGTH);

  private EndToEndHeaders() {}

  /** Returns a copy without the headers of the connection. */
  public static HttpHeaders of(HttpHeaders headers) {
    HttpHeaders copy =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    copy.add(headers);
    for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : named.split(",")) {
        copy.remove(name.trim());
      }
    }
    HOP_BY_HOP.forEach(copy::remove);
    return copy;
  }
}
