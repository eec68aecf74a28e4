package org.lockdale.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * A pool of idle connections, by event loop and address. A connection carries one exchange at a
 * time and stays on its event loop, so that data can be forwarded between a caller and an engine
 * without a change of threads. The pool also counts the open connections to each address, for calls
 * that limit them.
 */
final class ConnectionPool {

  private static final int MAX_IDLE_PER_KEY = 256;

  /**
   * Reads of a connection before the others of its event loop get their turn. A peer that sends
   * without a pause always has more to read, and decoding many small chunks takes long.
   */
  private static final int READS_PER_TURN = 1;

  /**
   * Seconds without traffic after which the operating system sends the first TCP keepalive probe.
   * While no data is due on a connection, only these probes detect that the peer is unreachable.
   * Detection takes three seconds: this time and two probe intervals. These times can't be shorter
   * than one second, and two probes are sent because a single one may be lost on the network.
   */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

  /** Seconds between two TCP keepalive probes. */
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

  /** Unacknowledged TCP keepalive probes after which the connection fails. */
  private static final int KEEP_ALIVE_PROBES = 2;

  /** Calls that may share connections. */
  private record Key(EventLoop eventLoop, InetSocketAddress address, String group) {

    /**
     * Implemented explicitly, since the method that is generated for records is linked at run time
     * in every process that calls it.
     */
    @Override
    public boolean equals(Object other) {
      return other instanceof Key key
          && eventLoop == key.eventLoop
          && address.equals(key.address)
          && group.equals(key.group);
    }

    @Override
    public int hashCode() {
      int loopAndAddress = 31 * System.identityHashCode(eventLoop) + address.hashCode();
      return 31 * loopAndAddress + group.hashCode();
    }
  }

  /** The calls that may share a connection. */
  private static final AttributeKey<Key> KEY = AttributeKey.valueOf(ConnectionPool.class, "key");

  /** Time by {@link System#nanoTime} until which an idle connection may be reused. */
  private static final AttributeKey<Long> USABLE_UNTIL =
      AttributeKey.valueOf(ConnectionPool.class, "usable-until");

  /** Time by {@link System#nanoTime} at which a connection was established. */
  private static final AttributeKey<Long> CONNECTED_AT =
      AttributeKey.valueOf(ConnectionPool.class, "connected-at");

  /**
   * Set on a connection that is closed to make room for another one, which takes over its slot in
   * the count of open connections.
   */
  private static final AttributeKey<Boolean> SLOT_TRANSFERRED =
      AttributeKey.valueOf(ConnectionPool.class, "slot-transferred");

  private final Map<Key, Deque<Channel>> idle = new ConcurrentHashMap<>();

  /** Numbers of connections that are open or being opened, by address, including idle ones. */
  private final Map<InetSocketAddress, Integer> openCounts = new ConcurrentHashMap<>();

  private final Duration connectTimeout;
  private final SurplusReply.Listener surplusReplies;

  ConnectionPool(Duration connectTimeout) {
    this(connectTimeout, surplus -> {});
  }

  /**
   * Creates a pool.
   *
   * @param connectTimeout maximum time to establish a connection
   * @param surplusReplies notified of replies that were not due
   */
  ConnectionPool(Duration connectTimeout, SurplusReply.Listener surplusReplies) {
    this.connectTimeout = connectTimeout;
    this.surplusReplies = surplusReplies;
  }

  /** Notifies the client's owner of a reply that was not due. */
  void recordSurplus(SurplusReply reply) {
    surplusReplies.onSurplusReply(reply);
  }

  Future<Channel> acquire(EventLoop eventLoop, InetSocketAddress address) {
    return acquire(eventLoop, address, HttpRequestMessage.get("/"), Integer.MAX_VALUE);
  }

  /**
   * Takes an idle connection or opens a new one.
   *
   * @param eventLoop event loop of the connection
   * @param address peer
   * @param request request to be sent. No connection is used that has carried its id
   * @param maxConnections maximum number of connections to the peer, including idle ones; applies
   *     only if a new one has to be opened
   * @return the connection; fails with an {@link HttpCallException} if a new connection would
   *     exceed the limit, and with the cause from Netty if it can't be established
   */
  Future<Channel> acquire(
      EventLoop eventLoop,
      InetSocketAddress address,
      HttpRequestMessage request,
      int maxConnections) {
    Key key = new Key(eventLoop, address, request.connectionGroup());
    Channel pooled = pollActive(key, request.echoedId());
    return pooled == null ? open(key, maxConnections) : eventLoop.newSucceededFuture(pooled);
  }

  /** Opens a new connection, as {@link #acquire} does where none is idle. */
  Future<Channel> open(
      EventLoop eventLoop,
      InetSocketAddress address,
      HttpRequestMessage request,
      int maxConnections) {
    return open(new Key(eventLoop, address, request.connectionGroup()), maxConnections);
  }

  private Future<Channel> open(Key key, int maxConnections) {
    if (!reserveSlot(key.address(), maxConnections)) {
      return key.eventLoop()
          .newFailedFuture(
              HttpCallException.atConnectionLimit(
                  maxConnections + " connections to it are open, which is this node's part"));
    }
    return openConnection(key);
  }

  /** Opens a new connection regardless of limits. It enters the pool only when it is released. */
  Future<Channel> connect(EventLoop eventLoop, InetSocketAddress address) {
    reserveSlot(address, Integer.MAX_VALUE);
    return openConnection(new Key(eventLoop, address, HttpRequestMessage.DEFAULT_GROUP));
  }

  /**
   * Reserves a slot for a new connection to an address. At the limit, closes an idle connection to
   * the address, of whichever event loop, and takes over its slot.
   *
   * @return whether the new connection may be opened
   */
  private boolean reserveSlot(InetSocketAddress address, int limit) {
    int before = openCounts.merge(address, 1, Integer::sum) - 1;
    if (before < limit) {
      return true;
    }
    releaseSlot(address);
    return evictIdleConnection(address);
  }

  private void releaseSlot(InetSocketAddress address) {
    openCounts.computeIfPresent(address, (key, count) -> count == 1 ? null : count - 1);
  }

  /**
   * Closes one idle connection to an address without releasing its slot; false if there is none.
   */
  private boolean evictIdleConnection(InetSocketAddress address) {
    for (Map.Entry<Key, Deque<Channel>> each : idle.entrySet()) {
      Channel channel = each.getKey().address().equals(address) ? each.getValue().pollLast() : null;
      if (channel != null && channel.isActive()) {
        channel.attr(SLOT_TRANSFERRED).set(true);
        channel.close();
        return true;
      }
    }
    return false;
  }

  /** Releases the slot of a closed connection, unless another connection took it over. */
  private void onClosed(Channel channel, InetSocketAddress address) {
    if (channel.attr(SLOT_TRANSFERRED).get() == null) {
      releaseSlot(address);
    }
  }

  /** Opens a connection for which a slot is reserved, and releases the slot if that fails. */
  private Future<Channel> openConnection(Key key) {
    EventLoop eventLoop = key.eventLoop();
    InetSocketAddress address = key.address();
    Promise<Channel> acquired = eventLoop.newPromise();
    new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_PER_TURN))
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                ConnectionEnd end = new ConnectionEnd();
                ResponseReader reader = new ResponseReader(ConnectionPool.this, address);
                channel
                    .pipeline()
                    .addLast(end)
                    .addLast(new ReceivedByteCounter(reader))
                    .addLast(new HttpRequestEncoder())
                    .addLast(new ReplyDecoder(end, reader::method))
                    .addLast(reader);
              }
            })
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                Channel channel = connected.channel();
                channel.attr(KEY).set(key);
                channel.attr(CONNECTED_AT).set(System.nanoTime());
                channel.closeFuture().addListener(closed -> onClosed(channel, address));
                acquired.setSuccess(channel);
              } else {
                releaseSlot(address);
                acquired.setFailure(connected.cause());
              }
            });
    return acquired;
  }

  /** Returns the local port of a connection; 0 if it has none. */
  static int localPort(Channel channel) {
    return channel.localAddress() instanceof InetSocketAddress local ? local.getPort() : 0;
  }

  /** Returns the time since a connection was established, in milliseconds; 0 before that. */
  static long ageMillis(Channel channel) {
    return TimeUnit.NANOSECONDS.toMillis(ageNanos(channel));
  }

  /** Returns the time since a connection was established, in nanoseconds; 0 before that. */
  static long ageNanos(Channel channel) {
    Long connectedAt = channel.attr(CONNECTED_AT).get();
    return connectedAt == null ? 0 : System.nanoTime() - connectedAt;
  }

  /**
   * Takes the idle connection that was used last among those on which a reply can be recognized.
   */
  private @Nullable Channel pollActive(Key key, @Nullable EchoedId id) {
    Deque<Channel> channels = idle.get(key);
    if (channels == null) {
      return null;
    }
    for (Channel channel : channels) {
      if (!isUsable(channel)) {
        if (channels.remove(channel)) {
          channel.close();
        }
      } else if (tellsApart(channel, id) && channels.remove(channel)) {
        return channel;
      }
    }
    return null;
  }

  private static boolean tellsApart(Channel channel, @Nullable EchoedId id) {
    ResponseReader reader = channel.pipeline().get(ResponseReader.class);
    return reader != null && reader.tellsApart(id);
  }

  private static boolean isUsable(Channel channel) {
    Long usableUntil = channel.attr(USABLE_UNTIL).get();
    return channel.isActive() && (usableUntil == null || System.nanoTime() - usableUntil < 0);
  }

  /** Closes all idle connections to an address. */
  void closeIdleConnections(InetSocketAddress address) {
    idle.forEach(
        (key, channels) -> {
          if (key.address().equals(address)) {
            channels.forEach(Channel::close);
          }
        });
    idle.keySet().removeIf(key -> key.address().equals(address));
  }

  /** Puts back a connection that was not used since it was acquired. */
  void release(Channel channel) {
    addIdle(channel);
  }

  /**
   * Puts back a connection after a complete exchange.
   *
   * @param usableUntilNanos time by {@link System#nanoTime} until which it may be reused
   */
  void release(Channel channel, long usableUntilNanos) {
    channel.attr(USABLE_UNTIL).set(usableUntilNanos);
    addIdle(channel);
  }

  private void addIdle(Channel channel) {
    Deque<Channel> channels =
        idle.computeIfAbsent(channel.attr(KEY).get(), key -> new ConcurrentLinkedDeque<>());
    if (channels.size() >= MAX_IDLE_PER_KEY) {
      channel.close();
      return;
    }
    channels.addFirst(channel);
  }

  /** Removes a closed connection from the pool, if it is there. */
  void discard(Channel channel) {
    Key key = channel.attr(KEY).get();
    Deque<Channel> channels = key == null ? null : idle.get(key);
    if (channels != null) {
      channels.remove(channel);
    }
  }
}
