package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A peer replies while it is still being sent the request's body. A reply without a length is whole
 * only if the peer then closes the connection in an orderly way.
 */
public final class EarlyReplyTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String PART = "a part";
  private static final String OPEN_HEAD = "HTTP/1.1 200 OK\r\nVary: none\r\n\r\n";

  /** More than the buffers of both sockets hold. */
  private static final int UPLOAD_BYTES = 32 * 1024 * 1024;

  /** Without a quiet period, an event loop may end before it has closed its connections. */
  private static final int QUIET_MILLIS = 10;

  /** Passes on the outcome of a call, and tells when its first content has arrived. */
  private static final class OutcomeListener implements HttpResponseListener {
    private final CompletableFuture<Void> contentReceived = new CompletableFuture<>();
    private final CompletableFuture<String> outcome = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onContent(ByteBuf content) {
      body.append(content.toString(StandardCharsets.US_ASCII));
      contentReceived.complete(null);
    }

    @Override
    public void onEnd() {
      outcome.complete("whole: " + body);
    }

    @Override
    public void onFailure(HttpCallException failure) {
      outcome.complete(failure.stage() + (failure.isClosedByPeer() ? " by the peer" : ""));
    }
  }

  private EventLoopGroup group;
  private ServerSocket listener;

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private OutcomeListener send(byte[] body) {
    OutcomeListener reply = new OutcomeListener();
    HttpRequestMessage request = HttpRequestMessage.json(HttpMethod.POST, "/", body);
    new HttpClient(group, TIMEOUT)
        .send(group.next(), (InetSocketAddress) listener.getLocalSocketAddress(), request, reply);
    return reply;
  }

  private static String outcome(OutcomeListener reply) throws Exception {
    return reply.outcome.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      head.append((char) input.read());
    }
  }

  @Test
  public void aPartIsNotTakenForTheReplyIfThePeerResetsDuringTheUpload() throws Exception {
    OutcomeListener reply = send(new byte[UPLOAD_BYTES]);
    try (Socket connection = listener.accept()) {
      readHead(connection.getInputStream());
      write(connection, OPEN_HEAD + PART);
      reply.contentReceived.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
      connection.setSoLinger(true, 0);
    }
    assertEquals(outcome(reply), "BROKEN_REPLY by the peer");
  }

  @Test
  public void aPartIsNotTakenForTheReplyIfThisProcessClosesTheConnection() throws Exception {
    OutcomeListener reply = send(new byte[0]);
    try (Socket connection = listener.accept()) {
      readHead(connection.getInputStream());
      write(connection, OPEN_HEAD + PART);
      reply.contentReceived.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
      group.shutdownGracefully(QUIET_MILLIS, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      assertTrue(outcome(reply).startsWith("BROKEN_REPLY"), outcome(reply));
    }
  }

  @Test
  public void aReplyThatEndsWithAnOrderlyCloseAfterTheUploadIsWhole() throws Exception {
    OutcomeListener reply = send(new byte[UPLOAD_BYTES]);
    try (Socket connection = listener.accept()) {
      InputStream input = connection.getInputStream();
      readHead(input);
      write(connection, OPEN_HEAD + PART);
      input.skipNBytes(UPLOAD_BYTES);
    }
    assertEquals(outcome(reply), "whole: " + PART);
  }

  @Test
  public void aReplyThatEndsWithAnOrderlyCloseDuringTheUploadIsWhole() throws Exception {
    OutcomeListener reply = send(new byte[UPLOAD_BYTES]);
    try (Socket connection = listener.accept()) {
      readHead(connection.getInputStream());
      write(connection, OPEN_HEAD + PART);
      connection.shutdownOutput();
      assertEquals(outcome(reply), "whole: " + PART);
    }
  }
}
