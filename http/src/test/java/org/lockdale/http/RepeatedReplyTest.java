package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A peer repeats replies late. On a connection whose replies carry no id, a repeated reply takes
 * the place of the one to a later call, and all further calls get the reply to the one before.
 */
public final class RepeatedReplyTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long SEED = 92;
  private static final int EVENT_LOOPS = 2;
  private static final int CALLERS = 8;
  private static final int CALLS_PER_CALLER = 400;

  private EventLoopGroup group;
  private HttpClient client;
  private RepeatingPeer peer;
  private ExecutorService callers;

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    client = new HttpClient(group, TIMEOUT);
    peer = new RepeatingPeer(SEED);
    callers = Executors.newFixedThreadPool(CALLERS);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    callers.shutdownNow();
    peer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpReply> checked(String path) {
    return client.exchange(
        peer.address(),
        HttpRequestMessage.get(path),
        TIMEOUT,
        reply -> reply.bodyText().equals(path));
  }

  private CompletableFuture<HttpReply> repeatable(String path) {
    return client.exchangeRepeatable(
        peer.address(),
        HttpRequestMessage.get(path),
        TIMEOUT,
        reply -> !reply.isSuccess() || reply.bodyText().equals(path));
  }

  private CompletableFuture<HttpReply> overOwnConnection(String path) {
    return client.exchangeOnce(
        peer.address(), HttpRequestMessage.get(path), TIMEOUT, ReplyCheck.ANY);
  }

  /** Sends calls one after another from each caller; returns how many got another call's reply. */
  private int wrongReplies(Function<String, CompletableFuture<HttpReply>> exchange)
      throws Exception {
    List<Future<Integer>> running = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      String prefix = "/" + caller + "/";
      Callable<Integer> calls =
          () -> {
            int wrong = 0;
            for (int call = 0; call < CALLS_PER_CALLER; call++) {
              String path = prefix + call;
              HttpReply reply = exchange.apply(path).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
              wrong += reply.isSuccess() && reply.bodyText().equals(path) ? 0 : 1;
            }
            return wrong;
          };
      running.add(callers.submit(calls));
    }
    int wrong = 0;
    for (Future<Integer> each : running) {
      wrong += each.get();
    }
    return wrong;
  }

  @Test
  public void aCheckedCallDoesNotGetARepeatedReplyToAnotherCall() throws Exception {
    assertEquals(wrongReplies(this::checked), 0);
    int repeats = CALLERS * CALLS_PER_CALLER / RepeatingPeer.REPEATED_REPLY;
    assertTrue(
        peer.connections() <= repeats + CALLERS * EVENT_LOOPS,
        "each repeated reply costs one connection at most: " + peer.connections());
  }

  @Test
  public void aCallOverItsOwnConnectionDoesNotGetARepeatedReplyToAnotherCall() throws Exception {
    assertEquals(wrongReplies(this::overOwnConnection), 0);
    assertEquals(peer.connections(), CALLERS * CALLS_PER_CALLER);
    awaitNoOpenConnections();
  }

  /** A second reply to a success is a failure, which has nothing that tells whose it is. */
  @Test
  public void aRepeatableCallDoesNotGetALateFailureOfAnotherCall() throws Exception {
    peer.close();
    peer = new RepeatingPeer(SEED, 503);
    assertEquals(wrongReplies(this::repeatable), 0);
    int repeats = CALLERS * CALLS_PER_CALLER / RepeatingPeer.REPEATED_REPLY;
    assertTrue(
        peer.connections() <= repeats + CALLERS * EVENT_LOOPS,
        "each late failure costs one connection at most: " + peer.connections());
  }

  private void awaitNoOpenConnections() {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (peer.openConnections() > 0 && System.nanoTime() < end) {
      Thread.onSpinWait();
    }
    assertEquals(peer.openConnections(), 0);
  }
}
