package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.Socket;
import org.lockdale.platform.RawBackend;
import org.lockdale.platform.RawBackend.Received;

/** A server without a model; some of its answers fail in the ways that servers do. */
final class PlainServer extends ServerBase {

  private static final int SLOTS = 8;
  private static final int SHORTEST_MILLIS = 5;
  private static final int LONGEST_MILLIS = 250;
  private static final int SERVER_ERROR = 500;

  /** One request in so many meets a kind of failure, so that a minute brings some of each. */
  private static final int FAILURE_PARTS = 60;

  private int running;

  PlainServer(Life life, String service) {
    super(life, service);
  }

  @Override
  String row() {
    return rowOf(SLOTS).toString();
  }

  @Override
  boolean control(Received request, Socket connection) throws IOException {
    if (!request.line().startsWith("GET /health")) {
      return false;
    }
    answer(connection, OK, "", "", "Lockdale-Instance-Id: " + id());
    return true;
  }

  private synchronized boolean enter() {
    if (running >= SLOTS) {
      return false;
    }
    running++;
    return true;
  }

  private synchronized void leave() {
    running--;
  }

  @Override
  void execute(Received request, Socket connection) throws IOException {
    if (!enter()) {
      reject(request, connection, UNAVAILABLE);
      return;
    }
    try {
      int draw = Math.floorMod((request.id() + instance()).hashCode(), Integer.MAX_VALUE);
      long lasts = SHORTEST_MILLIS + draw % (LONGEST_MILLIS - SHORTEST_MILLIS);
      String run = begin(request, 0, lasts);
      String body = "answer of " + run + " to " + request.id();
      if (closesWithin(connection, lasts)) {
        end(run, OK, body, false);
        connection.close();
        return;
      }
      finish(request, connection, run, body, draw / LONGEST_MILLIS % FAILURE_PARTS);
    } finally {
      leave();
    }
  }

  private void finish(Received request, Socket connection, String run, String body, int failure)
      throws IOException {
    String signature = signed(request, run);
    int status = failure == 0 ? SERVER_ERROR : OK;
    end(run, status, body, failure != 1);
    switch (failure) {
      case 1 -> {
        String half = body.substring(0, body.length() / 2);
        String head = "HTTP/1.1 200 Status\r\n" + Wire.REQUEST_ID + ": " + request.id() + "\r\n";
        RawBackend.write(
            connection,
            head + signature + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + half);
        RawBackend.reset(connection);
      }
      case 2 -> RawBackend.write(connection, "no answer in the protocol\r\n\r\n");
      case 3 -> {
        answer(connection, status, request.id(), body, signature);
        answer(connection, status, request.id(), "surplus", signature);
      }
      case 4, 5 -> {
        answer(connection, status, request.id(), body, signature, "Connection: close");
        connection.close();
      }
      default -> answer(connection, status, request.id(), body, signature);
    }
  }
}
