package org.lockdale.http;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * The head of a reply that was not due on its connection: a server has replied twice, or sends
 * bytes without a request.
 *
 * @param address peer
 * @param connection local port of the connection
 * @param status status code of the reply
 * @param id id of the request that the reply names; null if it names none
 * @param idle whether no call waited for a reply on the connection
 * @param awaitedId id of the request that waits for its reply on the connection; null if none waits
 *     or its reply carries no id
 * @param lateMillis time since the latest complete reply on the connection, in milliseconds; -1 if
 *     there was none
 */
public record SurplusReply(
    InetSocketAddress address,
    int connection,
    int status,
    @Nullable String id,
    boolean idle,
    @Nullable String awaitedId,
    long lateMillis) {

  /** Receives the surplus replies of a client's connections. */
  @FunctionalInterface
  public interface Listener {

    /** Called for a surplus reply, on the event loop of its connection. */
    void onSurplusReply(SurplusReply reply);
  }
}
