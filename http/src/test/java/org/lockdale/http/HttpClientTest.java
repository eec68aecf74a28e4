package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls over pooled connections, their limits and probes. */
public final class HttpClientTest {

  private static final int TIMEOUT_SECONDS = 10;
  private static final Duration PATIENT = Duration.ofSeconds(TIMEOUT_SECONDS);

  private EventLoopGroup group;
  private HttpServer server;

  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = HttpServer.start(HttpServerSettings.forAddress(anyPort), group, greeting());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static HttpHandler greeting() {
    return new HttpHandler() {
      @Override
      public void handle(HttpExchange exchange) {
        exchange.reply(HttpReply.text(200, "hello"));
      }

      @Override
      public HttpReply renderProtocolError(HttpProtocolError error) {
        return HttpReply.empty(error.status());
      }
    };
  }

  /**
   * A caller on another thread may acquire a pooled connection that its event loop is about to
   * close. A write to it then fails, or, if the event loop has already reported the close, raises
   * no further event, so that the call would never end.
   */
  @Test
  public void aConnectionThatClosesBeforeItsCallIsWrittenIsReplaced() throws Exception {
    EventLoop eventLoop = group.next();
    InetSocketAddress address = server.address();
    ConnectionPool pool = new ConnectionPool(Duration.ofSeconds(TIMEOUT_SECONDS));
    HttpClient client = new HttpClient(group, pool);
    Channel channel = pool.acquire(eventLoop, address).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    pool.release(channel);
    CountDownLatch unblock = new CountDownLatch(1);
    eventLoop.execute(() -> awaitUninterruptibly(unblock));
    channel.close();

    CompletableFuture<Integer> status = new CompletableFuture<>();
    HttpRequestMessage request = HttpRequestMessage.json(HttpMethod.GET, "/", new byte[0]);
    client.send(eventLoop, address, request, new StatusListener(status));
    unblock.countDown();

    assertEquals((int) status.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), 200);
  }

  /**
   * All open connections to a peer may become unresponsive at once while new ones work. If they
   * stayed in the pool, each of them would make one call time out.
   */
  @Test
  public void afterACallWithoutAReplyNoOlderConnectionIsUsed() throws Exception {
    try (SilentPeer peer = new SilentPeer()) {
      HttpClient client = new HttpClient(group);
      List<CompletableFuture<HttpReply>> calls = new ArrayList<>();
      for (int call = 0; call < 3; call++) {
        calls.add(get(client, peer.address(), PATIENT));
      }
      peer.awaitConnections(3);
      peer.startResponding();
      for (CompletableFuture<HttpReply> call : calls) {
        assertEquals(call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).status(), 200);
      }
      peer.silenceOpenConnections();
      Duration briefly = Duration.ofMillis(500);
      expectThrows(ExecutionException.class, () -> get(client, peer.address(), briefly).get());
      assertEquals(get(client, peer.address(), PATIENT).get().status(), 200, "on a new connection");
    }
  }

  private static CompletableFuture<HttpReply> get(
      HttpClient client, InetSocketAddress peer, Duration timeout) {
    return client.exchange(peer, HttpRequestMessage.get("/"), timeout);
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** A proxy whose target process has ended closes connections at once. */
  @Test
  public void aProbeTellsThatConnectionsAreClosedAtOnce() throws Exception {
    try (ServerSocket proxy = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread closer =
          new Thread(
              () -> {
                try {
                  proxy.accept().close();
                } catch (IOException ended) {
                  // The listener was closed at the end of the test.
                }
              });
      closer.start();
      InetSocketAddress address = (InetSocketAddress) proxy.getLocalSocketAddress();
      assertEquals(
          new HttpClient(group).probe(address).get(TIMEOUT_SECONDS, TimeUnit.SECONDS),
          Reachability.CLOSES);
      closer.join();
    }
  }

  @Test
  public void aProbeTellsWhetherAProcessListens() throws Exception {
    HttpClient client = new HttpClient(group);
    InetSocketAddress address = server.address();
    assertEquals(
        client.probe(address).get(TIMEOUT_SECONDS, TimeUnit.SECONDS), Reachability.ACCEPTS);
    server.close();
    assertEquals(
        client.probe(address).get(TIMEOUT_SECONDS, TimeUnit.SECONDS), Reachability.REFUSES);
  }

  private CompletableFuture<Integer> sendAtMostOne(HttpClient client, EventLoop loop) {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    client.send(
        loop,
        server.address(),
        new HttpRequestMessage(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]),
        new StatusListener(status),
        1);
    return status;
  }

  @Test
  public void aCallBeyondTheConnectionsThatAreAllowedIsNotSent() throws Exception {
    EventLoop loop = group.next();
    HttpClient client = new HttpClient(group);
    CompletableFuture<Integer> first = sendAtMostOne(client, loop);
    CompletableFuture<Integer> second = sendAtMostOne(client, loop);
    ExecutionException rejected =
        expectThrows(ExecutionException.class, () -> second.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertTrue(((HttpCallException) rejected.getCause()).isAtConnectionLimit());
    assertEquals(first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), Integer.valueOf(200));
  }

  /**
   * Retries while the limit is reached, since a connection becomes idle or frees its slot only a
   * moment after its reply, on its own event loop.
   */
  private int sendOnceASlotIsFree(HttpClient client, EventLoop loop) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (true) {
      try {
        return sendAtMostOne(client, loop).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (ExecutionException rejected) {
        boolean full = ((HttpCallException) rejected.getCause()).isAtConnectionLimit();
        if (!full || System.nanoTime() > end) {
          throw rejected;
        }
      }
    }
  }

  @Test
  public void aConnectionForASingleCallIsClosedIfTheCallEndsBeforeItOpens() throws Exception {
    EventLoop loop = group.next();
    CountDownLatch unblock = new CountDownLatch(1);
    try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) peer.getLocalSocketAddress();
      loop.execute(() -> awaitUninterruptibly(unblock));
      CompletableFuture<HttpReply> reply =
          new HttpClient(loop)
              .exchangeOnce(address, HttpRequestMessage.get("/"), PATIENT, ReplyCheck.ANY);
      reply.cancel(false);
      unblock.countDown();
      try (Socket opened = peer.accept()) {
        opened.setSoTimeout((int) PATIENT.toMillis());
        assertEquals(opened.getInputStream().read(), -1);
      }
    }
  }

  @Test
  public void closedAndIdleConnectionsFreeTheirSlots() throws Exception {
    HttpClient client = new HttpClient(group);
    for (int call = 0; call < 20; call++) {
      assertEquals(sendOnceASlotIsFree(client, group.next()), 200);
      if (call % 3 == 0) {
        client.closeIdleConnections(server.address());
      }
    }
  }
}
