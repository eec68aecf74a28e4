package org.lockdale.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Extracts the end-to-end headers of a request or a response, without those that concern a single
 * connection only and those that only nodes may set.
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
   * Returns a copy without hop-by-hop headers. A peer may list further hop-by-hop headers in {@code
   * Connection}, but not those that the recipient needs: a caller could otherwise make the gateway
   * drop the id of its request, or a server the proof of its response.
   *
   * @param headers all headers as received
   * @param needed lower-case names of headers that are always treated as end-to-end
   */
  public static HttpHeaders of(HttpHeaders headers, Set<String> needed) {
    HttpHeaders copy =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    copy.add(headers);
    for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : listed.split(",")) {
        if (!needed.contains(name.trim().toLowerCase(Locale.ROOT))) {
          copy.remove(name.trim());
        }
      }
    }
    HOP_BY_HOP.forEach(copy::remove);
    ForwardHeaders.INTERNAL.forEach(copy::remove);
    return copy;
  }
}
