package org.lockdale.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests which failures of a call that may be repeated count, and over which connections it goes.
 */
public final class RepeatableCallTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private EventLoopGroup group;
  private HttpClient client;
  private ScriptedPeer peer;

  @BeforeMethod
  public void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(group, TIMEOUT);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    peer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private int call() throws Exception {
    return client
        .exchangeRepeatable(peer.address(), HttpRequestMessage.get("/"), TIMEOUT, ReplyCheck.ANY)
        .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
        .status();
  }

  private List<Integer> connectionsOfCalls() {
    return peer.received().stream().map(ScriptedPeer.Received::connection).toList();
  }

  private static String reply(int status) {
    return ScriptedPeer.reply(status, "", "body");
  }

  @Test
  public void aFailureOverAUsedConnectionIsRepeatedOverANewOneThatIsKept() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              boolean late = request.connection() == 1 && request.number() > 1;
              connection.send(reply(late ? 503 : 200));
            });
    assertEquals(call(), 200);
    assertEquals(call(), 200);
    assertEquals(call(), 200);
    assertEquals(connectionsOfCalls(), List.of(1, 1, 2, 2));
  }

  @Test
  public void aFailureOverANewConnectionCountsAndClosesIt() throws Exception {
    peer = new ScriptedPeer((request, connection) -> connection.send(reply(503)));
    assertEquals(call(), 503);
    assertEquals(call(), 503);
    assertEquals(connectionsOfCalls(), List.of(1, 2));
  }

  @Test
  public void aCallIsRepeatedOnlyOnce() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              boolean first = request.connection() == 1 && request.number() == 1;
              connection.send(reply(first ? 200 : 429));
            });
    assertEquals(call(), 200);
    assertEquals(call(), 429);
    assertEquals(connectionsOfCalls(), List.of(1, 1, 2));
  }

  @Test
  public void aCheckedCallClosesItsConnectionAfterAFailure() throws Exception {
    peer = new ScriptedPeer((request, connection) -> connection.send(reply(503)));
    for (int call = 0; call < 2; call++) {
      client
          .exchange(peer.address(), HttpRequestMessage.get("/"), TIMEOUT, reply -> true)
          .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }
    assertEquals(connectionsOfCalls(), List.of(1, 2));
  }

  @Test
  public void aCallToAPeerThatRepliesOnceKeepsItsConnectionAfterAFailure() throws Exception {
    peer = new ScriptedPeer((request, connection) -> connection.send(reply(503)));
    for (int call = 0; call < 2; call++) {
      client
          .exchange(peer.address(), HttpRequestMessage.get("/"), TIMEOUT)
          .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }
    assertEquals(connectionsOfCalls(), List.of(1, 1));
  }
}
