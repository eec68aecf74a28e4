package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The last position in a server's cache events that it has told on each connection. */
final class ToldPositions {

  private final Map<Socket, Long> positions = new ConcurrentHashMap<>();

  /** Records the page with which the server replies on a connection. */
  void record(Socket connection, String page) throws IOException {
    positions.keySet().removeIf(Socket::isClosed);
    long position = StandardStreams.MAPPER.readTree(page).path("nextPageToken").asLong();
    positions.put(connection, position);
  }

  /**
   * Returns whether a call asks for events before the position that the reply before it on the same
   * connection told, and does not start anew. The peer has then taken something else for that
   * reply.
   */
  boolean isBehind(Socket connection, long since) {
    return since > 0 && since < positions.getOrDefault(connection, 0L);
  }
}
