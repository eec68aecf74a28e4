package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests sockets that listen before their servers start. */
public final class EarlyListenerTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  private EventLoopGroup group;

  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
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

  private static void send(Socket socket) throws IOException {
    socket.setSoTimeout(TIMEOUT_MILLIS);
    String request = "GET / HTTP/1.1\r\nHost: early\r\nConnection: close\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private static String read(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    StringBuilder text = new StringBuilder();
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      text.append(line).append('\n');
    }
    return text.toString();
  }

  @Test
  public void connectionsOpenedBeforeTheServerAreServed() throws IOException {
    EarlyListener listener = EarlyListener.open(LoopbackPorts.free());
    try (Socket early = new Socket(listener.address().getAddress(), listener.address().getPort())) {
      send(early);
      HttpServerSettings settings = HttpServerSettings.forAddress(listener.address());
      try (HttpServer server = HttpServer.start(settings, group, greeting(), listener);
          Socket late = new Socket(listener.address().getAddress(), listener.address().getPort())) {
        assertEquals(server.address(), listener.address());
        assertTrue(read(early).endsWith("hello\n"));
        send(late);
        assertTrue(read(late).endsWith("hello\n"));
      }
    }
  }

  @Test
  public void openingAnAddressInUseFails() throws IOException {
    InetSocketAddress address = LoopbackPorts.free();
    try (EarlyListener first = EarlyListener.open(address)) {
      assertThrows(HttpBindException.class, () -> EarlyListener.open(first.address()));
    }
  }
}
