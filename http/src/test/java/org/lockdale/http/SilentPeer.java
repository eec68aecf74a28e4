package org.lockdale.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A server that can stop replying on its open connections while it replies on new ones. */
final class SilentPeer implements Closeable {

  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private int connections;
  private int silentUpTo;
  private boolean responding;

  SilentPeer() throws IOException {
    listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket connection = listener.accept();
        int number = countConnection();
        threads.execute(() -> serve(connection, number));
      } catch (IOException closed) {
        return;
      }
    }
  }

  /** Counts a new connection and returns its number, starting at 1. */
  private synchronized int countConnection() {
    notifyAll();
    return ++connections;
  }

  private void serve(Socket connection, int number) {
    try (connection) {
      StringBuilder request = new StringBuilder();
      for (int next = connection.getInputStream().read();
          next >= 0;
          next = connection.getInputStream().read()) {
        request.append((char) next);
        if (request.toString().endsWith("\r\n\r\n") && awaitMayRespond(number)) {
          connection.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException gone) {
      // The client closed the connection, as tests expect.
    }
  }

  /** Waits for {@link #startResponding}; false if the connection is to stay silent. */
  private synchronized boolean awaitMayRespond(int number) {
    while (!responding) {
      try {
        wait();
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return number > silentUpTo;
  }

  /** Waits until at least a number of connections have been opened. */
  synchronized void awaitConnections(int number) throws InterruptedException {
    while (connections < number) {
      wait();
    }
  }

  /** Replies to the requests that were received and to later ones. */
  synchronized void startResponding() {
    responding = true;
    notifyAll();
  }

  /** Stops replying on the connections that are open now. */
  synchronized void silenceOpenConnections() {
    silentUpTo = connections;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    threads.shutdownNow();
  }
}
