package org.lockdale.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A socket on which a test writes raw HTTP, to send what HTTP clients would not. */
final class RawHttp implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private final Socket socket;

  RawHttp(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
  }

  RawHttp send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return this;
  }

  /** Sends a POST request that asks the server to close the connection after its response. */
  RawHttp post(String path, String headers, String body) throws IOException {
    return send(
        "POST "
            + path
            + " HTTP/1.1\r\nhost: node\r\nconnection: close\r\n"
            + headers
            + "content-length: "
            + body.getBytes(StandardCharsets.UTF_8).length
            + "\r\n\r\n"
            + body);
  }

  /**
   * Reads until the peer closes the connection; returns the status line and headers in lower case.
   */
  String readAll() throws IOException {
    String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    int head = reply.indexOf("\r\n\r\n");
    return head < 0
        ? reply
        : reply.substring(0, head).toLowerCase(Locale.ROOT) + reply.substring(head);
  }

  /**
   * Reads until a text has been received and returns everything received.
   *
   * @throws IOException if the connection is closed before
   */
  String readUntil(String text) throws IOException {
    StringBuilder seen = new StringBuilder();
    InputStream input = socket.getInputStream();
    while (seen.indexOf(text) < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("closed before '" + text + "' was received: " + seen);
      }
      seen.append((char) next);
    }
    return seen.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
