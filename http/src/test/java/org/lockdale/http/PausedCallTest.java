package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Calls that are not read for a while, and requests that a peer reads slowly. */
public final class PausedCallTest {

  private static final int TIMEOUT_SECONDS = 10;
  private static final int BODY_BYTES = 4 * 1024 * 1024;
  private static final String LARGE_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";

  /** Counts what a call receives. */
  private static class CountingListener implements HttpResponseListener {
    final AtomicLong received = new AtomicLong();
    final CompletableFuture<Boolean> ended = new CompletableFuture<>();

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onContent(ByteBuf content) {
      received.addAndGet(content.readableBytes());
    }

    @Override
    public void onEnd() {
      ended.complete(true);
    }

    @Override
    public void onFailure(HttpCallException failure) {
      ended.complete(false);
    }
  }

  private EventLoopGroup group;
  private ServerSocket peer;

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    peer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    peer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private InetSocketAddress address() {
    return (InetSocketAddress) peer.getLocalSocketAddress();
  }

  private static void readHead(Socket connection) throws IOException {
    InputStream input = connection.getInputStream();
    int matched = 0;
    while (matched < 4) {
      int next = input.read();
      matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
    }
  }

  private static void write(Socket connection, byte[] bytes) throws IOException {
    connection.getOutputStream().write(bytes);
    connection.getOutputStream().flush();
  }

  private HttpCall paused(EventLoop loop, CountingListener listener) throws Exception {
    HttpCall call =
        new HttpClient(group).send(loop, address(), HttpRequestMessage.get("/"), listener);
    Socket connection = peer.accept();
    readHead(connection);
    loop.submit(() -> call.setReading(false)).get();
    write(connection, LARGE_HEAD.getBytes(StandardCharsets.US_ASCII));
    CompletableFuture.runAsync(
        () -> {
          try (connection) {
            write(connection, new byte[BODY_BYTES]);
          } catch (IOException closed) {
            listener.ended.complete(false);
          }
        });
    return call;
  }

  /** Without a pause the node holds whatever a backend sends for a caller that does not read. */
  @Test
  public void nothingIsReceivedDuringAPauseAndAllOfItAfterwards() throws Exception {
    EventLoop loop = group.next();
    CountingListener listener = new CountingListener();
    HttpCall call = paused(loop, listener);
    Thread.sleep(200);
    assertEquals(listener.received.get(), 0);
    loop.submit(() -> call.setReading(true)).get();
    assertTrue(listener.ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertEquals(listener.received.get(), BODY_BYTES);
  }

  /** A connection that enters the pool while it is paused would never receive its next reply. */
  @Test
  public void aConnectionIsReadAgainAfterACallThatEndedInAPause() throws Exception {
    HttpClient client = new HttpClient(group);
    EventLoop loop = group.next();
    CompletableFuture<HttpCall> call = new CompletableFuture<>();
    CountingListener pausing =
        new CountingListener() {
          @Override
          public void onContent(ByteBuf content) {
            call.join().setReading(false);
            super.onContent(content);
          }
        };
    call.complete(client.send(loop, address(), HttpRequestMessage.get("/"), pausing));
    Socket connection = peer.accept();
    byte[] reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes("US-ASCII");
    readHead(connection);
    write(connection, reply);
    assertTrue(pausing.ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    CountingListener next = new CountingListener();
    client.send(loop, address(), HttpRequestMessage.get("/"), next);
    readHead(connection);
    write(connection, reply);
    assertTrue(next.ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  private static byte[] largeBody() {
    byte[] body = new byte[BODY_BYTES];
    new Random(1).nextBytes(body);
    return body;
  }

  /** A body that is queued as a whole is held twice while its backend reads slowly. */
  @Test
  public void aLargeBodyIsQueuedInParts() throws Exception {
    EventLoop loop = group.next();
    ConnectionPool pool = new ConnectionPool(Duration.ofSeconds(TIMEOUT_SECONDS));
    Channel channel = pool.acquire(loop, address()).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    pool.release(channel);
    CountingListener listener = new CountingListener();
    byte[] body = largeBody();
    HttpRequestMessage request = HttpRequestMessage.json(HttpMethod.POST, "/", body);
    new HttpClient(group, pool).send(loop, address(), request, listener);
    Socket connection = peer.accept();
    Thread.sleep(200);
    long queued = loop.submit(() -> QueueMeter.queuedBytes(channel)).get();
    assertTrue(queued <= 2 * RequestBodyWriter.PART_BYTES, queued + " bytes are queued");
    readHead(connection);
    assertTrue(Arrays.equals(connection.getInputStream().readNBytes(BODY_BYTES), body));
    write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes("US-ASCII"));
    assertTrue(listener.ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** A next request behind an incomplete body would be read as a part of that body. */
  @Test
  public void aConnectionWhoseBodyIsIncompleteIsNotReused() throws Exception {
    HttpClient client = new HttpClient(group);
    EventLoop loop = group.next();
    CountingListener listener = new CountingListener();
    HttpRequestMessage request = HttpRequestMessage.json(HttpMethod.POST, "/", new byte[8 << 20]);
    client.send(loop, address(), request, listener);
    Socket first = peer.accept();
    readHead(first);
    write(first, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".getBytes("US-ASCII"));
    assertTrue(listener.ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    client.send(loop, address(), HttpRequestMessage.get("/"), new CountingListener());
    peer.setSoTimeout(TIMEOUT_SECONDS * 1_000);
    assertNotSame(peer.accept(), first);
  }
}
