package org.lockdale.http;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * A server that replies to each request with its path after some work and sends each third reply a
 * second time, up to 200 ms later, with a status of its own.
 */
final class RepeatingPeer implements Closeable {

  /** Each reply whose number is a multiple of this is repeated. */
  static final int REPEATED_REPLY = 3;

  private static final int SUCCESS = 200;
  private static final int MAX_DELAY_MILLIS = 200;
  private static final int MAX_WORK_MICROS = 10_000;

  private final ServerSocket listener;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger replies = new AtomicInteger();
  private final Random random;
  private final int secondStatus;

  RepeatingPeer(long seed) throws IOException {
    this(seed, SUCCESS);
  }

  RepeatingPeer(long seed, int secondStatus) throws IOException {
    random = new Random(seed);
    this.secondStatus = secondStatus;
    listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Returns the number of connections that were opened. */
  int connections() {
    return connections.get();
  }

  /** Returns the number of open connections. */
  int openConnections() {
    return openConnections.get();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket connection = listener.accept();
        connections.incrementAndGet();
        openConnections.incrementAndGet();
        threads.execute(() -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        String path = line.split(" ")[1];
        while (!input.readLine().isEmpty()) {
          // The headers are skipped; requests have no body.
        }
        reply(connection, path);
      }
    } catch (IOException gone) {
      // The client closed the connection, as tests expect.
    } finally {
      openConnections.decrementAndGet();
    }
  }

  private void reply(Socket connection, String path) throws IOException {
    LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(random(MAX_WORK_MICROS)));
    write(connection, reply(SUCCESS, path));
    if (replies.incrementAndGet() % REPEATED_REPLY == 0) {
      timer.schedule(
          () -> write(connection, reply(secondStatus, path)),
          random(MAX_DELAY_MILLIS),
          TimeUnit.MILLISECONDS);
    }
  }

  private static byte[] reply(int status, String path) {
    String reply =
        "HTTP/1.1 " + status + " OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
    return reply.getBytes(StandardCharsets.US_ASCII);
  }

  private synchronized int random(int max) {
    return random.nextInt(max + 1);
  }

  /** Writes a whole reply; replies to one connection don't mix. */
  private static Void write(Socket connection, byte[] reply) throws IOException {
    synchronized (connection) {
      connection.getOutputStream().write(reply);
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    threads.shutdownNow();
    timer.shutdownNow();
  }
}
