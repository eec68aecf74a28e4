package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend;

/**
 * Writes the events of a stream, either in chunks or close-delimited. A close-delimited stream is
 * always inside an event until its last one is written, since a server that crashes between two
 * events would otherwise seem to have completed it.
 */
final class StreamWriter {

  /** Number of characters of the next event that a close-delimited stream writes ahead. */
  private static final int AHEAD = 2;

  private final Socket connection;
  private final ReplyChannel replies;
  private final boolean closeDelimited;

  /** Whether the start of the next event was written already. */
  private boolean isAhead;

  StreamWriter(Socket connection, ReplyChannel replies, boolean closeDelimited) {
    this.connection = connection;
    this.replies = replies;
    this.closeDelimited = closeDelimited;
  }

  /**
   * Writes the head of the response.
   *
   * @param head the head without the header that frames the body
   * @param next the first event, or empty if there is none
   */
  void writeHead(String head, String next) throws IOException {
    String framing = closeDelimited ? "" : "Transfer-Encoding: chunked\r\n";
    replies.beginStream(head + framing + "\r\n" + startOf(next));
  }

  /** Writes a comment of a given size, which is no part of any event's data. */
  void writePadding(int characters) throws IOException {
    if (!closeDelimited) {
      RawBackend.write(connection, RawBackend.chunk(": " + ".".repeat(characters) + "\n"));
    }
  }

  /**
   * Writes an event.
   *
   * @param next the event that follows, or empty if there is none
   */
  void writeEvent(String event, String next) throws IOException {
    if (!closeDelimited) {
      RawBackend.write(connection, RawBackend.chunk(event));
      return;
    }
    String rest = event.substring(isAhead ? AHEAD : 0);
    RawBackend.write(connection, rest + startOf(next));
  }

  /** Returns what a close-delimited stream writes of an event ahead of time. */
  private String startOf(String event) {
    isAhead = closeDelimited && !event.isEmpty();
    return isAhead ? event.substring(0, AHEAD) : "";
  }

  /** Writes half of an event and breaks the stream off. */
  void breakOff(String event) throws IOException {
    String half = event.substring(0, event.length() / 2);
    if (closeDelimited) {
      RawBackend.write(connection, half.substring(isAhead ? AHEAD : 0));
      connection.close();
    } else {
      RawBackend.write(connection, RawBackend.chunk(half));
      RawBackend.reset(connection);
    }
  }

  /**
   * Completes the stream.
   *
   * @param second second reply, or null for none; a close-delimited stream has none
   */
  void end(@Nullable LateReply second) throws IOException {
    if (closeDelimited) {
      connection.close();
    } else {
      replies.endStream("0\r\n\r\n", second);
    }
  }
}
