package org.lockdale.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which requests a server hands to its handler. */
public final class HttpServerTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  private CountDownLatch mayGoOn;
  private CountDownLatch blocked;
  private List<String> handled;
  private EventLoopGroup group;
  private HttpServer server;

  @BeforeMethod
  public void start() {
    mayGoOn = new CountDownLatch(1);
    blocked = new CountDownLatch(1);
    handled = new CopyOnWriteArrayList<>();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = HttpServer.start(HttpServerSettings.forAddress(anyPort), group, new Noting());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    mayGoOn.countDown();
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Noting implements HttpHandler {

    @Override
    public void handle(HttpExchange exchange) {
      handled.add(exchange.path());
      if (exchange.path().equals("/block")) {
        blocked.countDown();
        await(mayGoOn);
      }
      exchange.reply(HttpReply.text(200, "done"));
    }

    @Override
    public HttpReply renderProtocolError(HttpProtocolError error) {
      return HttpReply.empty(error.status());
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private Socket send(String path) throws IOException {
    Socket connection = new Socket(server.address().getAddress(), server.address().getPort());
    connection.setSoTimeout(TIMEOUT_MILLIS);
    String request = "GET " + path + " HTTP/1.1\r\nHost: server\r\n\r\n";
    connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return connection;
  }

  /**
   * A busy process reads requests late. Callers that got no answer in time had closed by then, and
   * their requests were sent to servers all the same, since a close is read after the request.
   */
  @Test
  public void aRequestWhoseCallerHasClosedBeforeItWasReadIsNotHandled() throws IOException {
    try (Socket blocking = send("/block")) {
      await(blocked);
      for (int caller = 0; caller < 5; caller++) {
        send("/left").close();
      }
      try (Socket staying = send("/stays")) {
        mayGoOn.countDown();
        assertEquals(staying.getInputStream().read(), 'H');
      }
      assertEquals(blocking.getInputStream().read(), 'H');
    }
    assertEquals(handled, List.of("/block", "/stays"));
  }

  @Test
  public void requestsSentAheadAreHandledInOrder() throws IOException {
    try (Socket connection = send("/first")) {
      String further = "GET /second HTTP/1.1\r\nHost: server\r\nConnection: close\r\n\r\n";
      connection.getOutputStream().write(further.getBytes(StandardCharsets.US_ASCII));
      connection.getInputStream().readAllBytes();
    }
    assertEquals(handled, List.of("/first", "/second"));
  }
}
