package org.lockdale.router.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.lockdale.coordination.membership.Outbound;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.MessageFormatException;
import org.lockdale.protocol.generated.PeerMessage;
import org.tinylog.Logger;

/**
 * Sends and receives node-to-node messages: small ones as UDP datagrams, larger ones each over a
 * separate TCP connection. Runs on the event loop of the state machine that processes the messages.
 */
public final class PeerTransport implements Closeable {

  /** Largest message sent as a datagram; it fits into one packet on common links. */
  private static final int MAX_DATAGRAM_BYTES = 1_200;

  private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int READ_TIMEOUT_SECONDS = 10;
  private static final int MAX_BIND_TRIES = 50;

  private final EventLoop eventLoop;
  private final MessageCodec<PeerMessage> codec = MessageCodec.peerMessages();
  private final MessageAuthenticator authenticator;
  private final Consumer<PeerMessage> receiver;
  private final Channel datagrams;
  private final Channel listener;
  private volatile Predicate<InetSocketAddress> blockedDestinations = address -> false;
  private volatile long bytesSent;
  private volatile long bytesReceived;

  /**
   * Binds a port for UDP and TCP.
   *
   * @param eventLoop runs the transport and the receiver
   * @param address address to listen on; port 0 selects a port that is free for both
   * @param sharedKey authenticates messages
   * @param receiver processes received messages
   * @throws PeerBindException if the port can't be bound
   */
  public PeerTransport(
      EventLoop eventLoop,
      InetSocketAddress address,
      String sharedKey,
      Consumer<PeerMessage> receiver) {
    this.eventLoop = eventLoop;
    this.authenticator = new MessageAuthenticator(sharedKey);
    this.receiver = receiver;
    BoundPair pair = bindBoth(address);
    this.datagrams = pair.datagrams();
    this.listener = pair.listener();
  }

  private record BoundPair(Channel datagrams, Channel listener) {}

  /**
   * Binds the same port for UDP and TCP. A free UDP port that the system assigns may be in use for
   * TCP; then another one is tried.
   */
  private BoundPair bindBoth(InetSocketAddress address) {
    for (int tries = 1; ; tries++) {
      Channel udp = bindDatagrams(address);
      try {
        return new BoundPair(udp, bindStreams((InetSocketAddress) udp.localAddress()));
      } catch (PeerBindException taken) {
        udp.close().awaitUninterruptibly();
        if (address.getPort() != 0 || tries >= MAX_BIND_TRIES) {
          throw taken;
        }
      }
    }
  }

  private Channel bindDatagrams(InetSocketAddress address) {
    ChannelFuture bound =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioDatagramChannel.class)
            .handler(new DatagramReceiver())
            .bind(address)
            .awaitUninterruptibly();
    return channelOf(bound, address);
  }

  private Channel bindStreams(InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS))
                        .addLast(
                            new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new FrameReceiver());
                  }
                });
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    return channelOf(bound, address);
  }

  private static Channel channelOf(ChannelFuture bound, InetSocketAddress address) {
    if (!bound.isSuccess()) {
      throw new PeerBindException(address, bound.cause());
    }
    return bound.channel();
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) datagrams.localAddress();
  }

  /** Sends a message; its loss is not reported. Must be called on the event loop. */
  public void send(Outbound outbound) {
    if (blockedDestinations.test(outbound.destination())) {
      return;
    }
    byte[] sealed = authenticator.seal(codec.encode(outbound.message()));
    bytesSent += sealed.length;
    ByteBuf bytes = Unpooled.wrappedBuffer(sealed);
    if (sealed.length <= MAX_DATAGRAM_BYTES) {
      datagrams.writeAndFlush(new DatagramPacket(bytes, outbound.destination()));
    } else {
      sendFrame(bytes, outbound.destination());
    }
  }

  private void sendFrame(ByteBuf bytes, InetSocketAddress destination) {
    new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new LengthFieldPrepender(LENGTH_BYTES))
        .connect(destination)
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connected.channel().writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE);
              } else {
                bytes.release();
              }
            });
  }

  private void receive(ByteBuf bytes) {
    byte[] sealed = new byte[bytes.readableBytes()];
    bytes.readBytes(sealed);
    bytesReceived += sealed.length;
    byte[] message = authenticator.open(sealed).orElse(null);
    if (message == null) {
      Logger.warn("event=peer-message-refused reason=wrong-key");
      return;
    }
    PeerMessage decoded;
    try {
      decoded = codec.decode(message);
    } catch (MessageFormatException malformed) {
      Logger.warn("event=peer-message-refused reason={}", malformed.getMessage());
      return;
    }
    receiver.accept(decoded);
  }

  /**
   * Drops messages to matching destinations from now on, to simulate network partitions in tests.
   */
  public void block(Predicate<InetSocketAddress> destinations) {
    blockedDestinations = destinations;
  }

  /** Returns the total bytes of messages sent, including their codes. */
  public long bytesSent() {
    return bytesSent;
  }

  /** Returns the total bytes of messages received, including their codes. */
  public long bytesReceived() {
    return bytesReceived;
  }

  @Override
  public void close() {
    datagrams.close().awaitUninterruptibly();
    listener.close().awaitUninterruptibly();
  }

  private final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      receive(packet.content());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram that can't be sent or read is lost; the protocol tolerates loss.
      Logger.debug("event=peer-datagram-failed cause={}", cause.toString());
    }
  }

  private final class FrameReceiver extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      receive(frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
