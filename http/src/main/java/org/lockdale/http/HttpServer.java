package org.lockdale.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** An HTTP/1.1 server on one address. */
public final class HttpServer implements Closeable {

  static final int LISTEN_BACKLOG = 4096;

  /** Netty's own figure for sockets, after which other connections get their turn. */
  private static final int MAX_READS_IN_A_ROW = 16;

  /**
   * Part of the bound of connections that is kept for those which still come after load balancers
   * were told to send no more: they take two seconds to notice.
   */
  private static final int RESERVED_PART = 8;

  private final HttpServerSettings settings;
  private final Channel listener;
  private final ChannelGroup connections;

  private HttpServer(HttpServerSettings settings, Channel listener, ChannelGroup connections) {
    this.settings = settings;
    this.listener = listener;
    this.connections = connections;
  }

  /**
   * Binds the address and starts to serve.
   *
   * @param settings address and limits
   * @param group event loops of the listener and its connections
   * @param handler serves the requests
   * @return the running server
   * @throws HttpBindException if the address can't be bound
   */
  public static HttpServer start(
      HttpServerSettings settings, EventLoopGroup group, HttpHandler handler) {
    ChannelGroup connections = openConnections();
    ServerBootstrap bootstrap =
        bootstrap(settings, group, handler, connections)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true);
    return started(settings, bootstrap.bind(settings.listenAddress()), connections);
  }

  /**
   * Starts to serve on a socket that listens already, first of all what waits there.
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
    ChannelGroup connections = openConnections();
    ServerBootstrap bootstrap =
        bootstrap(settings, group, handler, connections)
            .channelFactory(() -> new NioServerSocketChannel(listener.channel()));
    return started(settings, bootstrap.register(), connections);
  }

  /**
   * Once closed, the group closes what joins it: a connection that was accepted just before a close
   * joins after it, and would stay open with nobody to serve it.
   */
  private static ChannelGroup openConnections() {
    return new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  }

  private static ServerBootstrap bootstrap(
      HttpServerSettings settings,
      EventLoopGroup group,
      HttpHandler handler,
      ChannelGroup connections) {
    return new ServerBootstrap()
        .group(group)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, untilEmpty())
        .childHandler(new ConnectionInitializer(settings, handler, connections));
  }

  /** Reads on until the socket has no more, so that a close is seen together with a request. */
  private static RecvByteBufAllocator untilEmpty() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_IN_A_ROW);
  }

  private static HttpServer started(
      HttpServerSettings settings, ChannelFuture listening, ChannelGroup connections) {
    listening.awaitUninterruptibly();
    if (!listening.isSuccess()) {
      throw new HttpBindException(settings.listenAddress(), listening.cause());
    }
    return new HttpServer(settings, listening.channel(), connections);
  }

  /** Returns the address that was bound. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Returns whether new connections are served, with some to spare. */
  public boolean hasRoom() {
    int most = settings.maxConnections();
    return listener.isOpen() && connections.size() < most - most / RESERVED_PART;
  }

  /** Stops accepting connections; open ones go on. */
  public void stopAccepting() {
    listener.close().awaitUninterruptibly();
  }

  /** Closes the open connections and goes on accepting new ones, as a failing network would. */
  public void dropConnections() {
    connections.forEach(connection -> connection.close().awaitUninterruptibly());
  }

  /** Closes the connections on which no request is open or under way. */
  public void closeIdleConnections() {
    for (Channel connection : connections) {
      connection
          .eventLoop()
          .execute(
              () -> {
                RequestAssembler assembler = connection.pipeline().get(RequestAssembler.class);
                if (assembler != null && assembler.isIdle()) {
                  connection.close();
                }
              });
    }
  }

  /** Stops accepting connections and closes the open ones. */
  @Override
  public void close() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }

  private static final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    private final HttpServerSettings settings;
    private final HttpHandler handler;
    private final ChannelGroup connections;

    ConnectionInitializer(
        HttpServerSettings settings, HttpHandler handler, ChannelGroup connections) {
      this.settings = settings;
      this.handler = handler;
      this.connections = connections;
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
          .addLast(new HttpServerCodec(decoder))
          .addLast(new RequestAssembler(settings, handler));
    }
  }
}
