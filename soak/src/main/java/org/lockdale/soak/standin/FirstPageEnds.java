package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Where the first page of a server's cache events ended, on connections that just carried it. */
final class FirstPageEnds {

  private final Map<Socket, Long> endPositions = new ConcurrentHashMap<>();

  /**
   * Records the page with which the server replies to a call.
   *
   * @param since position that the call asked for, 0 for the start
   */
  void record(Socket connection, long since, String page) throws IOException {
    endPositions.keySet().removeIf(Socket::isClosed);
    if (since > 0) {
      endPositions.remove(connection);
      return;
    }
    long position = StandardStreams.MAPPER.readTree(page).path("nextPageToken").asLong();
    endPositions.put(connection, position);
  }

  /**
   * Returns whether a call asks for events before the end of the first page that its connection has
   * just carried. The peer has then taken an older page for the first one, without the parts before
   * that. A peer that takes a repeated empty page for the next one loses nothing.
   */
  boolean isBehind(Socket connection, long since) {
    return since > 0 && since < endPositions.getOrDefault(connection, 0L);
  }
}
