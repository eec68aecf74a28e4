package org.lockdale.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;

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

  /**
   * Returns a copy without the headers of the connection. A peer may name further ones as such in
   * {@code Connection}, but not those that the recipient needs: a caller could otherwise make the
   * gateway drop the id of its request, or a server the proof of its answer.
   *
   * @param headers all headers as received
   * @param needed names, in lower case, that are end to end whatever the peer says
   */
  public static HttpHeaders of(HttpHeaders headers, Set<String> needed) {
    HttpHeaders copy =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    copy.add(headers);
    for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : named.split(",")) {
        if (!needed.contains(name.trim().toLowerCase(Locale.ROOT))) {
          copy.remove(name.trim());
        }
      }
    }
    HOP_BY_HOP.forEach(copy::remove);
    return copy;
  }
}
