package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a surplus reply that is cut does not merge with the head of the reply behind it. */
public final class CutSurplusHeadTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String BODY = "failure";
  private static final String EARLIER = "before-";

  /** Head of a success that names no request. */
  private static final String SUCCESS = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Last: value\r\n";

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

  private static HttpRequestMessage request(String id) {
    return new HttpRequestMessage(
        HttpMethod.GET,
        "/",
        new DefaultHttpHeaders().set(ScriptedPeer.ID_HEADER, id),
        new byte[0],
        new EchoedId(ScriptedPeer.ID_HEADER, id));
  }

  private String call(String id) throws Exception {
    try {
      HttpReply reply =
          client
              .exchange(peer.address(), request(id), TIMEOUT)
              .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
      return reply.status() + " " + new String(reply.body(), StandardCharsets.US_ASCII);
    } catch (ExecutionException failed) {
      return "failed " + failed.getCause().getMessage();
    }
  }

  private static String failureOf(String id) {
    return ScriptedPeer.reply(500, id, BODY);
  }

  /** Calls once for each length of the cut head, and returns the successes. */
  private List<String> successes(ScriptedPeer.Script script) throws Exception {
    peer = new ScriptedPeer(script);
    List<String> wrong = new ArrayList<>();
    for (int length = 1; length <= SUCCESS.length(); length++) {
      String id = Integer.toString(length);
      call(EARLIER + id);
      String result = call(id);
      if (result.startsWith("200")) {
        wrong.add(SUCCESS.substring(0, length) + "| " + result);
      }
    }
    return wrong;
  }

  private static String cut(String length) {
    return SUCCESS.substring(0, Integer.parseInt(length));
  }

  private static boolean isEarlier(ScriptedPeer.Received request) {
    return request.id().startsWith(EARLIER);
  }

  @Test
  public void aCutHeadInFrontOfAFailureDoesNotMakeItASuccess() throws Exception {
    List<String> wrong =
        successes(
            (request, connection) -> {
              String front = isEarlier(request) ? "" : cut(request.id());
              connection.send(front + failureOf(request.id()));
            });
    assertEquals(wrong, List.of());
  }

  @Test
  public void aCutHeadBehindACompleteReplyDoesNotMakeTheNextFailureASuccess() throws Exception {
    List<String> wrong =
        successes(
            (request, connection) -> {
              String end = isEarlier(request) ? cut(request.id().substring(EARLIER.length())) : "";
              connection.send(failureOf(request.id()) + end);
            });
    assertEquals(wrong, List.of());
  }

  @Test
  public void aFailureBehindCutTrailersIsNotReplacedByASecondReply() throws Exception {
    String trailers = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Last: val";
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              String failure = ScriptedPeer.reply(500, request.id(), "");
              String success = ScriptedPeer.reply(200, request.id(), "second reply");
              connection.send(trailers + failure + success);
            });
    assertFalse(call("first").startsWith("200"));
  }
}
