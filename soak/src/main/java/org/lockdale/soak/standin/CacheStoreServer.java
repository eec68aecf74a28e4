package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import org.lockdale.platform.RawBackend.Received;

/** A store of cached prompt parts; it rejects all other requests. */
final class CacheStoreServer extends ServerBase {

  private final CachedParts cache = new CachedParts();

  CacheStoreServer(Life incarnation) {
    super(incarnation, "prompts");
  }

  @Override
  String row() {
    return "{}";
  }

  @Override
  boolean serveControlRequest(Received request, Socket connection) throws IOException {
    return CacheCalls.serve(cache, request, connection);
  }

  @Override
  void execute(Received request, Socket connection) throws IOException {
    reject(request, connection, MISDIRECTED);
  }
}
