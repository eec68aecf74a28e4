package org.lockdale.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * Where a call gets its connection from.
 *
 * @param eventLoop event loop of the call
 * @param acquire takes or opens a connection
 * @param reuse after which replies the connection is kept for other calls
 */
record ConnectionSource(
    EventLoop eventLoop, Supplier<Future<Channel>> acquire, ConnectionReuse reuse) {

  /**
   * Takes an idle connection of the pool, or opens a new one. A HEAD has one of its own: its reply
   * may announce a body that does not follow, so among surplus replies to HEAD and to other
   * requests it can't be told where each of them ends.
   */
  static ConnectionSource of(
      ConnectionPool pool,
      EventLoop eventLoop,
      InetSocketAddress address,
      HttpRequestMessage request,
      int maxConnections,
      ConnectionReuse reuse) {
    return request.method().equals(HttpMethod.HEAD)
        ? new ConnectionSource(
            eventLoop,
            () -> pool.open(eventLoop, address, request, maxConnections),
            ConnectionReuse.NEVER)
        : new ConnectionSource(
            eventLoop, () -> pool.acquire(eventLoop, address, request, maxConnections), reuse);
  }
}
