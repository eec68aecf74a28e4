package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lockdale.gateway.quarantine.RequestFingerprint;
import org.lockdale.gateway.quarantine.SuspectAttempt;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpServer;
import org.lockdale.http.HttpServerSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the reply, or the silence, of the node that recorded an attempt is taken for. */
public final class AttemptOwnerClientTest {

  private static final String IN_PROGRESS = "a-1:node-2";
  private static final String LOST = "a-2:node-2";

  private EventLoopGroup group;
  private HttpServer server;
  private AttemptOwnerClient client;

  /** Replies like a node that has one attempt in progress. */
  private static final class NodeHandler implements HttpHandler {
    @Override
    public void handle(HttpExchange exchange) {
      boolean known = exchange.path().equals(SuspectAttemptHandler.PATH + IN_PROGRESS);
      exchange.reply(HttpReply.empty(known ? 200 : 404));
    }

    @Override
    public HttpReply renderProtocolError(HttpProtocolError error) {
      return HttpReply.empty(error.status());
    }
  }

  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = HttpServer.start(HttpServerSettings.forAddress(anyPort), group, new NodeHandler());
    PeerNode peer = new PeerNode("node-2", server.address(), 1);
    client = new AttemptOwnerClient(new HttpClient(group), () -> List.of(peer));
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private boolean isInProgress(String id) throws Exception {
    RequestFingerprint request = new RequestFingerprint(1, 2);
    return client
        .isInProgress(new SuspectAttempt(request, 3, "i-1@1", id))
        .get(10, TimeUnit.SECONDS);
  }

  @Test
  public void theNodeThatRecordedAnAttemptTellsWhetherItIsInProgress() throws Exception {
    assertEquals(isInProgress(IN_PROGRESS), true);
    assertEquals(isInProgress(LOST), false);
    assertEquals(isInProgress("a-1:node-3"), false, "no node with that id is known");
  }

  @Test
  public void anAttemptOfANodeThatDoesNotRespondIsNotInProgress() throws Exception {
    server.close();
    assertEquals(isInProgress(IN_PROGRESS), false);
  }

  @Test
  public void anAttemptOfAnEarlierVersionIsAssumedToBeInProgress() throws Exception {
    assertEquals(isInProgress(""), true);
  }
}
