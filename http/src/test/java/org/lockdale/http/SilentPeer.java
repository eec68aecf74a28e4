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

/** A server whose open connections can fall silent while new ones are answered. */
final class SilentPeer implements Closeable {

  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private int connections;
  private int silentUpTo;
  private boolean answering;

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
        int number = opened();
        threads.execute(() -> serve(connection, number));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private synchronized int opened() {
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
        if (request.toString().endsWith("\r\n\r\n") && mayAnswer(number)) {
          connection.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException gone) {
      // The client gave the connection up, which is what tests wait for.
    }
  }

  private synchronized boolean mayAnswer(int number) {
    while (!answering) {
      try {
        wait();
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return number > silentUpTo;
  }

  /** Waits until a number of connections were opened. */
  synchronized void awaitConnections(int number) throws InterruptedException {
    while (connections < number) {
      wait();
    }
  }

  /** Answers what was asked and what will be. */
  synchronized void answerAll() {
    answering = true;
    notifyAll();
  }

  /** Answers nothing more on the connections that are open now. */
  synchronized void fallSilent() {
    silentUpTo = connections;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    threads.shutdownNow();
  }
}
