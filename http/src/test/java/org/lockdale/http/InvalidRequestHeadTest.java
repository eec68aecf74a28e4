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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A caller sends a request whose head has no valid form. The request must not be handled. */
public final class InvalidRequestHeadTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  private EventLoopGroup group;
  private HttpServer server;
  private final AtomicInteger handled = new AtomicInteger();

  private final class CountingHandler implements HttpHandler {
    @Override
    public void handle(HttpExchange exchange) {
      handled.incrementAndGet();
      exchange.reply(HttpReply.empty(200));
    }

    @Override
    public HttpReply renderProtocolError(HttpProtocolError error) {
      return HttpReply.empty(error.status());
    }
  }

  @BeforeMethod
  public void start() {
    handled.set(0);
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = HttpServer.start(HttpServerSettings.forAddress(anyPort), group, new CountingHandler());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @DataProvider
  public Object[][] lines() {
    return new Object[][] {
      {"X Sum: 3"},
      {"X\tSum: 3"},
      {"X-Sum : 3"},
      {"X\u0001Sum: 3"},
      {"X\u0000Sum: 3"},
      {"X\rSum: 3"},
      {"X\u007fSum: 3"},
      {"Content-Length X: 3"},
      {"Content-Length : 3"},
      {"Transfer-Encoding\t: chunked"},
      {"X-Sum"},
      {": 3"},
      {"Content-Length: +3"},
      {"Content-Length: 3\r\nContent-Length: 4"},
      {"Transfer-Encoding: gzip"},
      {"Transfer-Encoding: xchunked\r\nContent-Length: 3"},
    };
  }

  @Test(dataProvider = "lines")
  public void aRequestWithAnInvalidFieldIsNotHandled(String line) throws IOException {
    InetSocketAddress address = server.address();
    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String request = "POST / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\nabc";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      String reply =
          new String(
              caller.getInputStream().readNBytes("HTTP/1.1 400".length()),
              StandardCharsets.US_ASCII);
      assertEquals(reply, "HTTP/1.1 400");
      assertEquals(handled.get(), 0);
    }
  }
}
