package org.lockdale.http;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests whether a broken connection counts as closed by the peer. */
public final class ResponseReaderTest {

  private static final class FailureCollector implements HttpResponseListener {
    private final List<HttpCallException> failures = new ArrayList<>();

    @Override
    public void onHead(int status, HttpHeaders headers) {}

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(HttpCallException failure) {
      failures.add(failure);
    }
  }

  private static boolean isClosedByPeerAfter(Throwable cause) {
    ResponseReader reader =
        new ResponseReader(
            new ConnectionPool(Duration.ofSeconds(1)),
            InetSocketAddress.createUnresolved("peer", 1));
    EmbeddedChannel channel = new EmbeddedChannel(reader);
    FailureCollector listener = new FailureCollector();
    reader.start(new HttpCall(), listener, HttpRequestMessage.get("/"));
    channel.pipeline().fireExceptionCaught(cause);
    assertEquals(listener.failures.size(), 1);
    return listener.failures.get(0).isClosedByPeer();
  }

  /** A server that crashes while it writes the head must count as one that crashes before. */
  @Test
  public void aCloseInsideAHeadIsAClose() {
    ResponseReader reader =
        new ResponseReader(
            new ConnectionPool(Duration.ofSeconds(1)),
            InetSocketAddress.createUnresolved("peer", 1));
    EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(), reader);
    FailureCollector listener = new FailureCollector();
    reader.start(new HttpCall(), listener, HttpRequestMessage.get("/"));
    channel.writeInbound(
        Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Le", StandardCharsets.US_ASCII));
    channel.finishAndReleaseAll();
    assertEquals(listener.failures.size(), 1);
    assertEquals(listener.failures.get(0).isClosedByPeer(), true);
  }

  @Test
  public void aResetIsAClose() {
    assertEquals(isClosedByPeerAfter(new SocketException("Connection reset")), true);
    assertEquals(isClosedByPeerAfter(new IOException("Connection reset by peer")), true);
    assertEquals(isClosedByPeerAfter(new IOException("Broken pipe")), true);
  }

  @Test
  public void anUnansweredKeepAliveProbeIsNotAClose() {
    assertEquals(isClosedByPeerAfter(new IOException("Connection timed out")), false);
  }
}
