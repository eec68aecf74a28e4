package org.lockdale.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP/1.1 server on one address. */
public final class HttpServer implements Closeable {

  /** Connections that may wait to be accepted. */
  static final int LISTEN_BACKLOG = 4096;

  /**
   * Maximum number of reads from one connection before others get their turn; Netty's default for
   * sockets.
   */
  private static final int MAX_CONSECUTIVE_READS = 16;

  /**
   * One in this many of the allowed connections is held in reserve when the server reports whether
   * it has spare connections. Load balancers take two seconds to notice that it has none, and the
   * reserve serves the connections that they still open in that time.
   */
  private static final int RESERVE_DIVISOR = 8;

  private final HttpServerSettings settings;
  private final ListenerChannel listener;
  private final ChannelGroup connections;
  private final AtomicInteger busyConnections;

  private HttpServer(
      HttpServerSettings settings, ListenerChannel listener, ConnectionInitializer initializer) {
    this.settings = settings;
    this.listener = listener;
    this.connections = initializer.connections;
    this.busyConnections = initializer.busyConnections;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @param settings address and limits
   * @param group event loops of the listener and its connections
   * @param handler serves the requests
   * @return the running server
   * @throws HttpBindException if the address can't be bound
   */
  public static HttpServer start(
      HttpServerSettings settings, EventLoopGroup group, HttpHandler handler) {
    return start(settings, group, handler, FlowSettings.UNBOUNDED);
  }

  /**
   * Binds the address and starts to accept connections, whose memory is bounded.
   *
   * @param settings address and limits
   * @param group event loops of the listener and its connections
   * @param handler serves the requests
   * @param flow bounds what is held for slow peers
   * @return the running server
   * @throws HttpBindException if the address can't be bound
   */
  public static HttpServer start(
      HttpServerSettings settings, EventLoopGroup group, HttpHandler handler, FlowSettings flow) {
    ConnectionInitializer initializer = new ConnectionInitializer(settings, handler, flow);
    ServerBootstrap bootstrap =
        bootstrap(group, flow, initializer)
            .channelFactory(ListenerChannel::new)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true);
    return awaitListening(settings, bootstrap.bind(settings.listenAddress()), initializer);
  }

  /**
   * Starts to accept connections on a socket that listens already, including those in its backlog.
   *
   * @param settings limits
   * @param group event loops of the listener and its connections
   * @param handler serves the requests
   * @param listener the socket; the server closes it
   * @return the running server
   * @throws HttpBindException if the socket can't be served
   */
  public static HttpServer start(
      HttpServerSettings settings,
      EventLoopGroup group,
      HttpHandler handler,
      EarlyListener listener) {
    return start(settings, group, handler, FlowSettings.UNBOUNDED, listener);
  }

  /**
   * Starts to accept connections on a socket that listens already, including those in its backlog.
   * Their memory is bounded.
   *
   * @param settings limits
   * @param group event loops of the listener and its connections
   * @param handler serves the requests
   * @param flow bounds what is held for slow peers
   * @param listener the socket; the server closes it
   * @return the running server
   * @throws HttpBindException if the socket can't be served
   */
  public static HttpServer start(
      HttpServerSettings settings,
      EventLoopGroup group,
      HttpHandler handler,
      FlowSettings flow,
      EarlyListener listener) {
    ConnectionInitializer initializer = new ConnectionInitializer(settings, handler, flow);
    ServerBootstrap bootstrap =
        bootstrap(group, flow, initializer)
            .channelFactory(() -> new ListenerChannel(listener.channel()));
    return awaitListening(settings, bootstrap.register(), initializer);
  }

  /**
   * Returns a group that, once closed, also closes connections that are added to it later. A
   * connection that was accepted just before the server closed is added after that, and would
   * otherwise stay open without being served.
   */
  private static ChannelGroup newConnectionGroup() {
    return new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  }

  private static ServerBootstrap bootstrap(
      EventLoopGroup group, FlowSettings flow, ConnectionInitializer initializer) {
    return new ServerBootstrap()
        .group(group)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(flow.lowMarkBytes(), flow.highMarkBytes()))
        .childHandler(initializer);
  }

  /**
   * Returns an allocator that lets Netty read until the socket is empty, so that a close of the
   * connection is detected together with the request before it.
   */
  private static RecvByteBufAllocator readUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_CONSECUTIVE_READS);
  }

  /** Waits until the listener is open and returns the running server. */
  private static HttpServer awaitListening(
      HttpServerSettings settings, ChannelFuture listening, ConnectionInitializer initializer) {
    listening.awaitUninterruptibly();
    if (!listening.isSuccess()) {
      throw new HttpBindException(settings.listenAddress(), listening.cause());
    }
    return new HttpServer(settings, (ListenerChannel) listening.channel(), initializer);
  }

  /** Returns the address that was bound. */
  public InetSocketAddress address() {
    return listener.localAddress();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /**
   * Returns the number of open connections with complete requests whose replies have not been
   * written to the socket in full.
   */
  public int busyConnectionCount() {
    return busyConnections.get();
  }

  /** Returns whether connections are accepted and more than the reserve is left of the limit. */
  public boolean hasSpareConnections() {
    int limit = settings.maxConnections();
    return listener.isOpen() && connections.size() < limit - limit / RESERVE_DIVISOR;
  }

  /**
   * Stops accepting connections; open ones stay open. Once this method has returned, the port is
   * released and connections are refused. If it is called on the listener's event loop, that is so
   * only after the loop's next selection.
   */
  public void stopAccepting() {
    listener.closeAndAwaitRelease();
  }

  /** Closes the open connections, as a network fault would; new ones are still accepted. */
  public void dropConnections() {
    connections.forEach(connection -> connection.close().awaitUninterruptibly());
  }

  /** Closes the connections on which no request is being received, handled or answered. */
  public void closeIdleConnections() {
    closeIdleConnections(Duration.ZERO);
  }

  /**
   * Closes the connections on which no request has been received, handled or answered for a time. A
   * caller that has just connected, or just got a reply, may be sending a request.
   */
  public void closeIdleConnections(Duration minIdle) {
    for (Channel connection : connections) {
      connection
          .eventLoop()
          .execute(
              () -> {
                RequestAssembler assembler = connection.pipeline().get(RequestAssembler.class);
                if (assembler != null && assembler.isIdleFor(minIdle)) {
                  connection.close();
                }
              });
    }
  }

  /** Stops accepting connections as {@link #stopAccepting} does, and closes the open ones. */
  @Override
  public void close() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }

  private static final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    private final HttpServerSettings settings;
    private final HttpHandler handler;
    private final FlowSettings flow;
    private final ChannelGroup connections = newConnectionGroup();
    private final AtomicInteger busyConnections = new AtomicInteger();

    ConnectionInitializer(HttpServerSettings settings, HttpHandler handler, FlowSettings flow) {
      this.settings = settings;
      this.handler = handler;
      this.flow = flow;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      if (connections.size() >= settings.maxConnections()) {
        channel.close();
        return;
      }
      connections.add(channel);
      HttpDecoderConfig decoder =
          new HttpDecoderConfig()
              .setMaxHeaderSize(settings.maxHeaderBytes())
              .setMaxInitialLineLength(settings.maxHeaderBytes());
      channel
          .pipeline()
          .addLast(
              new IdleStateHandler(settings.idleTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS))
          .addLast(new HttpServerCodec(decoder));
      HeldMemory.Account held = flow.memory().open(channel::close);
      if (held != HeldMemory.Account.NONE) {
        channel.pipeline().addFirst(new QueueMeter(held, settings.idleTimeout()));
      }
      channel.pipeline().addLast(new RequestAssembler(settings, handler, held, busyConnections));
    }
  }
}
