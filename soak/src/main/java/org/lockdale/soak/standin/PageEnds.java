package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Where the pages of a server's cache events ended, by the connection that carried them. */
final class PageEnds {

  /** The pages of one connection. */
  private static final class Pages {

    /** Ends of all pages so far. */
    private final Set<Long> ends = new HashSet<>();

    /** End of the latest page if that was the first page of events, otherwise 0. */
    private long firstPageEnd;

    synchronized void add(long since, long end) {
      ends.add(end);
      firstPageEnd = since == 0 ? end : 0;
    }

    synchronized boolean isBehind(long since) {
      return since > 0 && since < firstPageEnd && ends.contains(since);
    }
  }

  private final Map<Socket, Pages> connections = new ConcurrentHashMap<>();

  /**
   * Records the page with which the server replies to a call.
   *
   * @param since position that the call asked for, 0 for the start
   */
  void record(Socket connection, long since, String page) throws IOException {
    connections.keySet().removeIf(Socket::isClosed);
    long end = StandardStreams.MAPPER.readTree(page).path("nextPageToken").asLong();
    connections.computeIfAbsent(connection, opened -> new Pages()).add(since, end);
  }

  /**
   * Returns whether a call asks for events from the end of an earlier page of its connection on,
   * although that has just carried the first page, which goes further. If replies are repeated on
   * the connection, the peer has then taken the earlier page for the first one, without the parts
   * before that. A peer that takes a repeated empty page for the next one loses nothing, nor does
   * one that goes on from a page of another connection.
   */
  boolean isBehind(Socket connection, long since) {
    Pages pages = connections.get(connection);
    return pages != null && pages.isBehind(since);
  }
}
