package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend;
import org.lockdale.platform.RawBackend.Received;

/** A server without a model; some of its responses fail in ways typical of servers. */
final class PlainServer extends ServerBase {

  private static final int SLOTS = 8;
  private static final int MIN_RUN_MILLIS = 5;
  private static final int MAX_RUN_MILLIS = 250;
  private static final int MIN_SLOW_RUN_MILLIS = 2_500;
  private static final int MAX_SLOW_RUN_MILLIS = 3_400;
  private static final int SERVER_ERROR = 500;

  /** Each kind of failure affects one request in this many, so that a minute has some of each. */
  private static final int FAILURE_INTERVAL = 60;

  private int running;

  PlainServer(Incarnation incarnation, String service) {
    super(incarnation, service);
  }

  @Override
  String row() {
    return commonRow(SLOTS).toString();
  }

  @Override
  boolean serveControlRequest(Received request, Socket connection) throws IOException {
    if (!request.line().startsWith("GET /health")) {
      return false;
    }
    respond(connection, OK, "", "", "Lockdale-Instance-Id: " + id());
    return true;
  }

  private synchronized boolean acquireSlot() {
    if (running >= SLOTS) {
      return false;
    }
    running++;
    return true;
  }

  private synchronized void releaseSlot() {
    running--;
  }

  @Override
  void execute(Received request, Socket connection, @Nullable SecondReplyKind second)
      throws IOException {
    if (!acquireSlot()) {
      reject(request, connection, UNAVAILABLE);
      return;
    }
    try {
      int draw = Math.floorMod((request.id() + instance()).hashCode(), Integer.MAX_VALUE);
      long durationMillis = durationMillis(request, draw);
      String run = runs().recordStart(request, 0, durationMillis);
      String body = "answer of " + run + " to " + request.id();
      if (closesWithin(connection, durationMillis)) {
        runs().recordEnd(run, OK, body, false);
        connection.close();
        return;
      }
      if (second != null) {
        sendTwice(request, connection, run, body, second);
        return;
      }
      sendResponse(request, connection, run, body, draw / MAX_RUN_MILLIS % FAILURE_INTERVAL);
    } finally {
      releaseSlot();
    }
  }

  private void sendTwice(
      Received request, Socket connection, String run, String body, SecondReplyKind second)
      throws IOException {
    int status = SecondReplies.failsFirst(second) ? SERVER_ERROR : OK;
    runs().recordEnd(run, status, body, true);
    Reply first = Reply.of(status, request.id(), body, responseHeaders(request, run));
    replies().toRequest(connection, request, first, second, run, secondBody(run));
  }

  @Override
  String secondBody(String run) {
    return "second answer of " + run;
  }

  private static long durationMillis(Received request, int draw) {
    return request.body().startsWith(SLOW_BODY_PREFIX)
        ? MIN_SLOW_RUN_MILLIS + draw % (MAX_SLOW_RUN_MILLIS - MIN_SLOW_RUN_MILLIS)
        : MIN_RUN_MILLIS + draw % (MAX_RUN_MILLIS - MIN_RUN_MILLIS);
  }

  private void sendResponse(
      Received request, Socket connection, String run, String body, int failure)
      throws IOException {
    String signature = responseHeaders(request, run);
    int status = failure == 0 ? SERVER_ERROR : OK;
    runs().recordEnd(run, status, body, failure != 1);
    switch (failure) {
      case 1 -> {
        String half = body.substring(0, body.length() / 2);
        String head =
            "HTTP/1.1 200 Status\r\n" + HeaderNames.REQUEST_ID + ": " + request.id() + "\r\n";
        RawBackend.write(
            connection,
            head + signature + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + half);
        RawBackend.reset(connection);
      }
      case 2 -> RawBackend.write(connection, "no answer in the protocol\r\n\r\n");
      case 3 -> {
        respond(connection, status, request.id(), body, signature);
        respond(connection, status, request.id(), "surplus", signature);
      }
      case 4, 5 -> {
        respond(connection, status, request.id(), body, signature, "Connection: close");
        connection.close();
      }
      default -> respond(connection, status, request.id(), body, signature);
    }
  }
}
