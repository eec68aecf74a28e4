package org.lockdale.http;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * The id of a request that the peer repeats in a header of its reply, by which the reply is told
 * from replies to other requests.
 *
 * @param header name of the header of the reply
 * @param value id of the request
 */
public record EchoedId(String header, String value) {

  /** Returns whether a reply belongs to the request with this id. */
  boolean isIn(HttpHeaders reply) {
    return value.equals(idIn(reply));
  }

  /** Returns the id in a reply, whichever request it belongs to; null if there is none. */
  @Nullable String idIn(HttpHeaders reply) {
    return reply.get(header);
  }
}
