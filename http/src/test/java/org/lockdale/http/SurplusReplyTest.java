package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what happens to a reply that is not due on its connection. */
public final class SurplusReplyTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_SURPLUS = 100;
  private static final long POLL_MILLIS = 5;

  private final BlockingQueue<SurplusReply> surplus = new ArrayBlockingQueue<>(MAX_SURPLUS);
  private EventLoopGroup group;
  private HttpClient client;
  private ScriptedPeer peer;

  @BeforeMethod
  public void start() {
    surplus.clear();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new HttpClient(group, TIMEOUT, HttpClient.ExchangeListener.NONE, surplus::add);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    peer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static HttpRequestMessage request(String id) {
    return request(HttpMethod.GET, id);
  }

  private static HttpRequestMessage headRequest(String id) {
    return request(HttpMethod.HEAD, id);
  }

  private static HttpRequestMessage request(HttpMethod method, String id) {
    return new HttpRequestMessage(
        method,
        "/",
        new DefaultHttpHeaders().set(ScriptedPeer.ID_HEADER, id),
        new byte[0],
        new EchoedId(ScriptedPeer.ID_HEADER, id));
  }

  private String call(HttpRequestMessage message) throws Exception {
    HttpReply reply =
        client
            .exchange(peer.address(), message, TIMEOUT)
            .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    return reply.status() + " " + new String(reply.body(), StandardCharsets.US_ASCII);
  }

  private SurplusReply nextSurplus() throws InterruptedException {
    return surplus.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  public void aReplyToAnEarlierRequestIsSkippedAndReported() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              if (request.number() > 1) {
                connection.send(ScriptedPeer.reply(500, "first", "late"));
              }
              connection.send(ScriptedPeer.reply(200, request.id(), "for " + request.id()));
            });
    assertEquals(call(request("first")), "200 for first");
    assertEquals(call(request("second")), "200 for second");
    SurplusReply reported = nextSurplus();
    assertEquals(reported.address(), peer.address());
    assertEquals(reported.status(), 500);
    assertEquals(reported.id(), "first");
    assertFalse(reported.idle());
    assertEquals(reported.awaitedId(), "second");
    assertTrue(reported.connection() > 0);
    assertTrue(reported.lateMillis() >= 0);
  }

  @Test
  public void aLateReplyToTheFirstSendIsNotTakenForTheReplyToTheSecond() throws Exception {
    peer = failingPeerWithLateSuccess();
    assertEquals(call(request("first")), "500 failure");
    assertEquals(call(request("first")), "500 failure");
    assertEquals(peer.received().get(1).connection(), 2);
  }

  @Test
  public void aConnectionThatHasCarriedAnIdMakesRoomForAnotherOneAtTheLimit() throws Exception {
    peer = failingPeerWithLateSuccess();
    assertEquals(callAtLimit(request("first")), 500);
    assertEquals(callAtLimit(request("first")), 500);
    assertEquals(peer.received().get(1).connection(), 2);
  }

  @Test
  public void requestsWithOtherIdsShareAConnectionUntilItsIdsAreTooMany() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) ->
                connection.send(ScriptedPeer.reply(200, request.id(), "for " + request.id())));
    for (int index = 0; index < CarriedIds.CAPACITY; index++) {
      assertEquals(call(request("r" + index)), "200 for r" + index);
    }
    assertTrue(peer.received().stream().allMatch(request -> request.connection() == 1));
    assertEquals(call(request("next")), "200 for next");
    assertEquals(peer.received().get(CarriedIds.CAPACITY).connection(), 2);
  }

  /** Answers with a failure, and with a success where the next reply on the connection is due. */
  private static ScriptedPeer failingPeerWithLateSuccess() throws IOException {
    return new ScriptedPeer(
        (request, connection) -> {
          if (request.number() > 1) {
            connection.send(ScriptedPeer.reply(200, "first", "late success"));
          }
          connection.send(ScriptedPeer.reply(500, request.id(), "failure"));
        });
  }

  private int callAtLimit(HttpRequestMessage message) throws Exception {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    client.send(group.next(), peer.address(), message, new StatusListener(status), 1);
    return status.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  public void aRequestDoesNotWaitBehindASurplusReplyThatHasNoEnd() throws IOException {
    String endless = "HTTP/1.1 200 OK\r\n" + ScriptedPeer.ID_HEADER + ": other\r\n\r\nbody";
    assertFailsAtOnce(endless);
  }

  @Test
  public void aRequestDoesNotWaitBehindAReplyWithoutAnIdThatHasNoEnd() throws IOException {
    assertFailsAtOnce("HTTP/1.1 200 OK\r\n\r\nbody");
  }

  @Test
  public void aRequestDoesNotWaitBehindASwitchOfProtocols() throws IOException {
    assertFailsAtOnce("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
  }

  @Test
  public void aRequestDoesNotWaitBehindASurplusReplyWhoseEncodingHasNoChunks() throws IOException {
    assertFailsAtOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n");
  }

  @Test
  public void aHeadDoesNotWaitForABodyBehindAReplyWithoutAnId() throws IOException {
    String surplusReply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    String reply = "HTTP/1.1 200 OK\r\nX-Id: h\r\nContent-Length: 5\r\n\r\n";
    assertFailsAtOnce(headRequest("h"), surplusReply + reply);
  }

  /** Asserts that a call fails although its own reply follows these bytes. */
  private void assertFailsAtOnce(String bytes) throws IOException {
    assertFailsAtOnce(request("first"), bytes + ScriptedPeer.reply(200, "first", "unreadable"));
  }

  private void assertFailsAtOnce(HttpRequestMessage message, String bytes) throws IOException {
    peer = new ScriptedPeer((request, connection) -> connection.send(bytes));
    CompletableFuture<Integer> status = new CompletableFuture<>();
    client.send(group.next(), peer.address(), message, new StatusListener(status));
    ExecutionException failure =
        expectThrows(
            ExecutionException.class, () -> status.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    HttpCallException cause = (HttpCallException) failure.getCause();
    assertEquals(cause.stage(), HttpCallException.Stage.NO_REPLY);
    assertFalse(cause.isClosedByPeer());
  }

  @Test
  public void aSecondReplyInOneReadIsNotTakenForTheReplyToTheNextCall() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              String reply =
                  ScriptedPeer.reply(200, "", request.connection() + "-" + request.number());
              connection.send(reply + reply);
            });
    HttpRequestMessage message = HttpRequestMessage.get("/");
    // The second call starts in the turn of the event loop in which the first one ends.
    HttpReply second =
        client
            .exchange(peer.address(), message, TIMEOUT)
            .thenCompose(first -> client.exchange(peer.address(), message, TIMEOUT))
            .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertEquals(new String(second.body(), StandardCharsets.US_ASCII), "2-1");
  }

  @Test
  public void aReplyOnAnIdleConnectionIsReportedAndClosesIt() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              String reply = ScriptedPeer.reply(200, request.id(), "for " + request.id());
              connection.send(request.number() == 1 ? reply + reply : reply);
            });
    assertEquals(call(request("first")), "200 for first");
    SurplusReply reported = nextSurplus();
    assertEquals(reported.id(), "first");
    assertTrue(reported.idle());
    assertNull(reported.awaitedId());
    assertEquals(call(request("second")), "200 for second");
    assertEquals(peer.received().get(1).connection(), 2);
  }

  @Test
  public void bytesOnAnIdleConnectionAreNotReadAsPartOfTheNextReply() throws Exception {
    CompletableFuture<ScriptedPeer.Connection> first = new CompletableFuture<>();
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              first.complete(connection);
              connection.send(ScriptedPeer.reply(200, request.id(), "for " + request.id()));
            });
    assertEquals(call(request("first")), "200 for first");
    first.join().send("no line end");
    awaitClosed(first.join());
    assertEquals(call(request("second")), "200 for second");
  }

  private static void awaitClosed(ScriptedPeer.Connection connection) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!connection.isClosed() && System.nanoTime() < deadline) {
      Thread.sleep(POLL_MILLIS);
    }
    assertTrue(connection.isClosed());
  }

  @Test
  public void aLateReplyIsToldAfterManyOtherRequests() throws Exception {
    Set<Integer> carried = ConcurrentHashMap.newKeySet();
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              if (request.id().equals("first") && carried.contains(request.connection())) {
                connection.send(ScriptedPeer.reply(200, "first", "late success"));
              }
              if (request.id().equals("first")) {
                carried.add(request.connection());
              }
              connection.send(
                  ScriptedPeer.reply(
                      request.id().equals("first") ? 500 : 200, request.id(), "due"));
            });
    assertEquals(call(request("first")), "500 due");
    for (int index = 0; index < CarriedIds.CAPACITY; index++) {
      assertEquals(call(request("r" + index)), "200 due");
    }
    assertEquals(call(request("first")), "500 due");
  }

  @Test
  public void aFailureWithoutAnIdOnAFreshConnectionIsNotReplacedByASecondReply() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              connection.send(ScriptedPeer.reply(500, "", "failure"));
              connection.send(ScriptedPeer.reply(200, request.id(), "second reply"));
            });
    ExecutionException failed =
        expectThrows(ExecutionException.class, () -> call(request("first")));
    assertEquals(((HttpCallException) failed.getCause()).stage(), HttpCallException.Stage.NO_REPLY);
  }

  @Test
  public void aFailureWithoutAnIdOnAUsedConnectionIsNotReplacedByASecondReply() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) -> {
              if (request.number() > 1) {
                connection.send(ScriptedPeer.reply(500, "", "failure"));
              }
              connection.send(ScriptedPeer.reply(200, request.id(), "for " + request.id()));
            });
    assertEquals(call(request("first")), "200 for first");
    expectThrows(ExecutionException.class, () -> call(request("second")));
  }

  @Test
  public void aHeadBehindAnInformationalHeadIsComplete() throws Exception {
    peer =
        new ScriptedPeer(
            (request, connection) ->
                connection.send(
                    "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: h\r\nContent-Length: 5\r\n\r\n"));
    assertEquals(call(headRequest("h")), "200 ");
  }
}
