package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Tests that malformed input crashes neither the server nor the event decoder. Uses fixed seeds.
 */
public final class ParserFuzzTest {

  private static final int ROUNDS = 400;
  private static final int TIMEOUT_SECONDS = 10;
  private static final String REQUEST =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n"
          + "4\r\nbody\r\n0\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  private static final String EVENTS =
      "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: comment\n\nid: x\ndata\n\nretry: 5\n\n";

  private static byte[] mutated(String text, Random random) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    int changes = 1 + random.nextInt(6);
    for (int change = 0; change < changes; change++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    int length = random.nextInt(4) == 0 ? 1 + random.nextInt(bytes.length) : bytes.length;
    return java.util.Arrays.copyOf(bytes, length);
  }

  @Test
  public void aServerOutlivesRequestsOfAnyBytes() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    HttpServer server =
        HttpServer.start(HttpServerSettings.forAddress(anyPort), group, new GreetingHandler());
    try {
      for (int seed = 0; seed < ROUNDS; seed++) {
        send(server.address(), mutated(REQUEST, new Random(seed)));
      }
      HttpReply reply =
          new HttpClient(group)
              .exchange(
                  server.address(),
                  HttpRequestMessage.get("/"),
                  Duration.ofSeconds(TIMEOUT_SECONDS))
              .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertEquals(reply.status(), 200);
    } finally {
      server.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void send(InetSocketAddress address, byte[] bytes) {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      OutputStream output = socket.getOutputStream();
      output.write(bytes);
      output.flush();
      socket.shutdownOutput();
      socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
      while (socket.getInputStream().read() >= 0) {
        // Discards the replies until the server closes the connection.
      }
    } catch (IOException closed) {
      // A server may close or reset a connection on which it receives an invalid request.
    }
  }

  private static final class GreetingHandler implements HttpHandler {
    @Override
    public void handle(HttpExchange exchange) {
      exchange.reply(HttpReply.text(200, "hello"));
    }

    @Override
    public HttpReply renderProtocolError(HttpProtocolError error) {
      return HttpReply.empty(error.status());
    }
  }

  @Test
  public void anEventDecoderFailsOnlyWithIllegalArgumentException() {
    int rejected = 0;
    for (int seed = 0; seed < ROUNDS * 10; seed++) {
      Random random = new Random(seed);
      ByteBuf bytes = Unpooled.wrappedBuffer(mutated(EVENTS, random));
      ServerSentEventDecoder decoder = new ServerSentEventDecoder((id, event) -> {});
      try {
        while (bytes.isReadable()) {
          int length = 1 + random.nextInt(bytes.readableBytes());
          decoder.decode(bytes.readSlice(length));
        }
      } catch (IllegalArgumentException malformed) {
        rejected++;
      } finally {
        decoder.close();
      }
    }
    assertTrue(rejected < ROUNDS * 10, "all inputs were rejected");
  }
}
