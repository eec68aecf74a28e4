package org.lockdale.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Idle connections by event loop and address. A connection carries one exchange at a time and stays
 * on its event loop, so a relay need not change threads between the caller and the engine.
 */
final class ConnectionPool {

  private static final int MAX_IDLE_PER_KEY = 256;

  /**
   * Idle seconds after which the system asks whether the peer still hears, seconds between two
   * questions, and questions without an answer after which the connection fails. Where nothing is
   * due on a connection only this tells that it has gone silent. Three seconds in all, as less than
   * one is not to be had, and links lose packets.
   */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private record Key(EventLoop eventLoop, InetSocketAddress address) {

    /** Written out, since a record's own is linked anew in every process that calls it. */
    @Override
    public boolean equals(Object other) {
      return other instanceof Key key && eventLoop == key.eventLoop && address.equals(key.address);
    }

    @Override
    public int hashCode() {
      return 31 * System.identityHashCode(eventLoop) + address.hashCode();
    }
  }

  /** Until when an idle connection may be used again, by {@link System#nanoTime}. */
  private static final AttributeKey<Long> USABLE_UNTIL =
      AttributeKey.valueOf(ConnectionPool.class, "usable-until");

  /** When a connection came up, by {@link System#nanoTime}. */
  private static final AttributeKey<Long> CONNECTED_AT =
      AttributeKey.valueOf(ConnectionPool.class, "connected-at");

  /** Whether a connection that is being closed has left its place to another one. */
  private static final AttributeKey<Boolean> PLACE_GIVEN =
      AttributeKey.valueOf(ConnectionPool.class, "place-given");

  private final Map<Key, Deque<Channel>> idle = new ConcurrentHashMap<>();

  /** Connections that are open or being opened, by address, idle ones included. */
  private final Map<InetSocketAddress, Integer> open = new ConcurrentHashMap<>();

  private final Duration connectTimeout;

  ConnectionPool(Duration connectTimeout) {
    this.connectTimeout = connectTimeout;
  }

  Future<Channel> acquire(EventLoop eventLoop, InetSocketAddress address) {
    return acquire(eventLoop, address, Integer.MAX_VALUE);
  }

  /**
   * Takes an idle connection or opens one.
   *
   * @return the connection; fails with an {@link HttpCallException} where that took more than the
   *     given number to be open at once
   */
  Future<Channel> acquire(EventLoop eventLoop, InetSocketAddress address, int mostConnections) {
    Channel pooled = pollActive(new Key(eventLoop, address));
    if (pooled != null) {
      return eventLoop.newSucceededFuture(pooled);
    }
    if (!takePlace(address, mostConnections)) {
      return eventLoop.newFailedFuture(
          HttpCallException.atConnectionLimit(
              mostConnections + " connections to it are open, which is this node's part"));
    }
    return connectInPlace(eventLoop, address);
  }

  /** Opens a new connection, which is not in the pool before it is released. */
  Future<Channel> connect(EventLoop eventLoop, InetSocketAddress address) {
    takePlace(address, Integer.MAX_VALUE);
    return connectInPlace(eventLoop, address);
  }

  /** An idle connection of another event loop gives its place where there is no other. */
  private boolean takePlace(InetSocketAddress address, int most) {
    int before = open.merge(address, 1, Integer::sum) - 1;
    if (before < most) {
      return true;
    }
    leavePlace(address);
    return closeIdle(address);
  }

  private void leavePlace(InetSocketAddress address) {
    open.computeIfPresent(address, (key, count) -> count == 1 ? null : count - 1);
  }

  private boolean closeIdle(InetSocketAddress address) {
    for (Map.Entry<Key, Deque<Channel>> each : idle.entrySet()) {
      Channel channel = each.getKey().address().equals(address) ? each.getValue().pollLast() : null;
      if (channel != null && channel.isActive()) {
        channel.attr(PLACE_GIVEN).set(true);
        channel.close();
        return true;
      }
    }
    return false;
  }

  private void left(Channel channel, InetSocketAddress address) {
    if (channel.attr(PLACE_GIVEN).get() == null) {
      leavePlace(address);
    }
  }

  private Future<Channel> connectInPlace(EventLoop eventLoop, InetSocketAddress address) {
    Promise<Channel> acquired = eventLoop.newPromise();
    new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new ResponseReader(ConnectionPool.this, address));
              }
            })
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                Channel channel = connected.channel();
                channel.attr(CONNECTED_AT).set(System.nanoTime());
                channel.closeFuture().addListener(closed -> left(channel, address));
                acquired.setSuccess(channel);
              } else {
                leavePlace(address);
                acquired.setFailure(connected.cause());
              }
            });
    return acquired;
  }

  /** Returns how long ago a connection came up, in nanoseconds. */
  static long ageNanos(Channel channel) {
    Long connectedAt = channel.attr(CONNECTED_AT).get();
    return connectedAt == null ? 0 : System.nanoTime() - connectedAt;
  }

  private @Nullable Channel pollActive(Key key) {
    Deque<Channel> channels = idle.get(key);
    if (channels == null) {
      return null;
    }
    Channel channel = channels.pollFirst();
    while (channel != null && !isUsable(channel)) {
      channel.close();
      channel = channels.pollFirst();
    }
    return channel;
  }

  private static boolean isUsable(Channel channel) {
    Long usableUntil = channel.attr(USABLE_UNTIL).get();
    return channel.isActive() && (usableUntil == null || System.nanoTime() - usableUntil < 0);
  }

  /** Closes the idle connections to an address. */
  void forget(InetSocketAddress address) {
    idle.forEach(
        (key, channels) -> {
          if (key.address().equals(address)) {
            channels.forEach(Channel::close);
          }
        });
    idle.keySet().removeIf(key -> key.address().equals(address));
  }

  /** Returns a connection that has carried nothing since it was acquired. */
  void release(Channel channel, InetSocketAddress address) {
    park(channel, address);
  }

  /** Returns a connection after a whole exchange, for use again until a time. */
  void release(Channel channel, InetSocketAddress address, long usableUntilNanos) {
    channel.attr(USABLE_UNTIL).set(usableUntilNanos);
    park(channel, address);
  }

  private void park(Channel channel, InetSocketAddress address) {
    Deque<Channel> channels =
        idle.computeIfAbsent(
            new Key(channel.eventLoop(), address), key -> new ConcurrentLinkedDeque<>());
    if (channels.size() >= MAX_IDLE_PER_KEY) {
      channel.close();
      return;
    }
    channels.addFirst(channel);
  }

  void discard(Channel channel, InetSocketAddress address) {
    Deque<Channel> channels = idle.get(new Key(channel.eventLoop(), address));
    if (channels != null) {
      channels.remove(channel);
    }
  }
}
