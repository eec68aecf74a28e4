package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend.Received;

/** The replies of a server on all its connections, some of which it gives twice. */
final class ServerReplies {

  private final SecondReplies secondReplies;
  private final Map<Socket, ReplyChannel> channels = new ConcurrentHashMap<>();

  ServerReplies(String instance) {
    secondReplies = new SecondReplies(instance);
  }

  /** Returns the second replies of the server. */
  SecondReplies second() {
    return secondReplies;
  }

  /** Returns the replies of one connection. */
  ReplyChannel of(Socket connection) {
    return channels.computeIfAbsent(
        connection,
        opened -> {
          channels.keySet().removeIf(Socket::isClosed);
          return new ReplyChannel(opened);
        });
  }

  /**
   * Responds to a caller's request.
   *
   * @param kind how the reply is repeated, or null if it is not
   * @param run run that a second reply names
   * @param secondBody body of a second reply that is a success
   */
  void toRequest(
      Socket connection,
      Received request,
      Reply reply,
      @Nullable SecondReplyKind kind,
      String run,
      String secondBody)
      throws IOException {
    of(connection).write(reply.text(), second(kind, request, reply.status(), run, secondBody));
  }

  /** Returns the second reply to a caller's request, or null if there is none. */
  @Nullable LateReply second(
      @Nullable SecondReplyKind kind,
      Received request,
      int firstStatus,
      String run,
      String secondBody) {
    return kind == null
        ? null
        : secondReplies.toRequest(kind, ServerBase.noteId(request), firstStatus, run, secondBody);
  }

  /**
   * Responds to a call without an id.
   *
   * @param secondBody body of a second reply that is a success
   */
  void toCall(Socket connection, String path, int status, String body, String secondBody)
      throws IOException {
    SecondReplyKind kind = secondReplies.draw();
    Reply reply = Reply.of(status, "", body, "Content-Type: application/json");
    of(connection)
        .write(reply.text(), kind == null ? null : secondReplies.toCall(kind, path, secondBody));
  }
}
