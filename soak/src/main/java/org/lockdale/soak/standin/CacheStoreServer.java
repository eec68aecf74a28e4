package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend.Received;

/** A store of cached prompt parts; it rejects all other requests. */
final class CacheStoreServer extends ServerBase {

  private final CachedParts cache = new CachedParts();

  CacheStoreServer(Incarnation incarnation) {
    super(incarnation, "prompts");
  }

  @Override
  String row() {
    return "{}";
  }

  @Override
  boolean serveControlRequest(Received request, Socket connection) throws IOException {
    return CacheCalls.serve(this, cache, request, connection);
  }

  @Override
  void execute(Received request, Socket connection, @Nullable SecondReplyKind second)
      throws IOException {
    reject(request, connection, MISDIRECTED);
  }

  @Override
  String secondBody(String run) {
    return "";
  }
}
