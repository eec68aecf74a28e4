package org.lockdale.http;

import io.netty.channel.Channel;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Finds out from a new connection, which is closed again, whether a process listens there. */
final class ReachabilityProbe {

  /**
   * Time for which a probe waits to see whether the peer closes a new connection, in milliseconds.
   * A proxy finds out within a round trip that no process listens behind it; one that first looks
   * up whose connection it is takes longer, especially on a loaded machine.
   */
  private static final long CLOSE_DETECTION_MILLIS = 250;

  private ReachabilityProbe() {}

  /**
   * Starts a probe.
   *
   * @param connecting the connection, which may still be being established
   * @return what the peer did with the connection; never fails
   */
  static CompletableFuture<Reachability> start(Future<Channel> connecting) {
    CompletableFuture<Reachability> result = new CompletableFuture<>();
    connecting.addListener(
        (Future<Channel> connected) -> {
          if (connected.isSuccess()) {
            awaitClose(connected.getNow(), result);
          } else {
            result.complete(reachabilityOf(connected.cause()));
          }
        });
    return result;
  }

  private static void awaitClose(Channel channel, CompletableFuture<Reachability> result) {
    channel.closeFuture().addListener(closed -> result.complete(Reachability.CLOSES));
    channel
        .eventLoop()
        .schedule(
            () -> {
              result.complete(Reachability.ACCEPTS);
              channel.close();
            },
            CLOSE_DETECTION_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private static Reachability reachabilityOf(Throwable cause) {
    boolean inconclusive =
        cause instanceof ConnectTimeoutException
            || cause instanceof NoRouteToHostException
            || !(cause instanceof ConnectException);
    return inconclusive ? Reachability.UNKNOWN : Reachability.REFUSES;
  }
}
