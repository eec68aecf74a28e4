package org.lockdale.http;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A peer that answers each request, which has no body, with the bytes that a script writes. */
final class ScriptedPeer implements Closeable {

  private static final int BACKLOG = 50;
  private static final String ID_FIELD = "x-id: ";

  /** Header in which requests and replies carry the id of the request. */
  static final String ID_HEADER = "X-Id";

  /**
   * A request as the peer received it.
   *
   * @param id id of the request; empty if it has none
   * @param connection number of its connection, counted from 1
   * @param number number of the request on its connection, counted from 1
   */
  record Received(String id, int connection, int number) {}

  /** Answers the requests. */
  @FunctionalInterface
  interface Script {
    void answer(Received request, Connection connection) throws IOException;
  }

  /** The peer's side of a connection. */
  static final class Connection {
    private final Socket socket;

    private Connection(Socket socket) {
      this.socket = socket;
    }

    /** Sends bytes at once. */
    void send(String bytes) throws IOException {
      OutputStream output = socket.getOutputStream();
      output.write(bytes.getBytes(StandardCharsets.US_ASCII));
      output.flush();
    }

    void close() throws IOException {
      socket.close();
    }

    /** Returns whether either side has closed the connection. */
    boolean isClosed() {
      return socket.isClosed();
    }
  }

  private final ServerSocket listener;
  private final Script script;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger connections = new AtomicInteger();
  private final List<Received> received = Collections.synchronizedList(new ArrayList<>());

  ScriptedPeer(Script script) throws IOException {
    this.script = script;
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  /** Returns a whole reply; without an id if that is empty. */
  static String reply(int status, String id, String body) {
    String idHeader = id.isEmpty() ? "" : ID_HEADER + ": " + id + "\r\n";
    return "HTTP/1.1 "
        + status
        + " Status\r\n"
        + idHeader
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Returns the requests so far. */
  List<Received> received() {
    synchronized (received) {
      return List.copyOf(received);
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        int number = connections.incrementAndGet();
        threads.execute(() -> serve(socket, number));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      Connection peerSide = new Connection(socket);
      int number = 0;
      while (!socket.isClosed() && input.readLine() != null) {
        Received request = new Received(readId(input), connection, ++number);
        received.add(request);
        script.answer(request, peerSide);
      }
    } catch (IOException closed) {
      // The client has closed the connection, as many tests intend.
    }
  }

  private static String readId(BufferedReader input) throws IOException {
    String id = "";
    for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith(ID_FIELD)) {
        id = line.substring(ID_FIELD.length());
      }
    }
    return id;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    threads.shutdownNow();
  }
}
