package org.lockdale.gateway.quarantine;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.lockdale.gateway.caller.CallerRequest;

/** Creates requests for tests. */
final class Requests {

  private Requests() {}

  static CallerRequest of(String id, String uri, String body) {
    return of(id, uri, body, null);
  }

  static CallerRequest of(String id, String uri, String body, String lastEventId) {
    return new CallerRequest(
        id,
        "POST",
        uri,
        uri,
        "shop.example",
        "key",
        1_000,
        null,
        List.of(),
        null,
        lastEventId,
        null,
        new DefaultHttpHeaders(),
        body.getBytes(StandardCharsets.UTF_8));
  }
}
