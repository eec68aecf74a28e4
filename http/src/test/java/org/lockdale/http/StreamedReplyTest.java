package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A caller can tell a streamed reply that was aborted from a complete one. */
public final class StreamedReplyTest {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int OK = 200;

  /**
   * Sends a part of a reply, and aborts it on {@code /broken}. On {@code /replied}, starts a stream
   * although the reply is complete.
   */
  private static final class StreamingHandler implements HttpHandler {

    @Override
    public void handle(HttpExchange exchange) {
      if (exchange.path().equals("/replied")) {
        exchange.reply(HttpReply.empty(OK));
      }
      exchange.startStream(OK, new DefaultHttpHeaders());
      exchange.write(Unpooled.copiedBuffer("part", StandardCharsets.US_ASCII));
      if (exchange.path().equals("/broken")) {
        exchange.abort();
      } else {
        exchange.endStream();
      }
    }

    @Override
    public HttpReply renderProtocolError(HttpProtocolError error) {
      return HttpReply.empty(error.status());
    }
  }

  private EventLoopGroup group;
  private HttpServer server;

  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    server =
        HttpServer.start(
            HttpServerSettings.forAddress(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
            group,
            new StreamingHandler());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns all bytes up to the orderly close of the connection; a reset throws. */
  private String replyTo(String path, String version) throws IOException {
    return repliesTo(request(path, version, "Connection: close\r\n"));
  }

  private static String request(String path, String version, String headers) {
    return "GET " + path + " " + version + "\r\nHost: node\r\n" + headers + "\r\n";
  }

  /** Sends requests, each once the head of the former reply has arrived. */
  private String repliesTo(String... requests) throws IOException {
    InetSocketAddress address = server.address();
    StringBuilder replies = new StringBuilder();
    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      InputStream input = caller.getInputStream();
      for (String request : requests) {
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        for (int next = input.read(); next >= 0; next = input.read()) {
          replies.append((char) next);
          if (replies.toString().endsWith("\r\n\r\n")) {
            break;
          }
        }
      }
      return replies + new String(input.readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  @Test
  public void aCompleteReplyEndsWithItsLastChunk() throws IOException {
    assertTrue(replyTo("/whole", "HTTP/1.1").endsWith("\r\n4\r\npart\r\n0\r\n\r\n"));
  }

  @Test
  public void anAbortedReplyHasNoLastChunk() throws IOException {
    assertFalse(replyTo("/broken", "HTTP/1.1").contains("0\r\n\r\n"));
  }

  @Test
  public void aCompleteReplyWithoutChunksEndsWithAnOrderlyClose() throws IOException {
    String reply = replyTo("/whole", "HTTP/1.0");
    assertEquals(reply.substring(reply.indexOf("\r\n\r\n")), "\r\n\r\npart");
  }

  @Test
  public void anAbortedReplyWithoutChunksIsReset() {
    assertThrows(SocketException.class, () -> replyTo("/broken", "HTTP/1.0"));
  }

  @Test
  public void aStreamThatStartsAfterTheReplyIsNotReadByTheNextRequest() throws IOException {
    String replies =
        repliesTo(
            request("/replied", "HTTP/1.1", ""),
            request("/whole", "HTTP/1.1", "Connection: close\r\n"));
    assertEquals(replies.split("HTTP/1.1 200 OK", -1).length - 1, 2, replies);
    assertTrue(replies.endsWith("\r\n4\r\npart\r\n0\r\n\r\n"), replies);
  }
}
