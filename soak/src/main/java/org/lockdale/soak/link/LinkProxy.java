package org.lockdale.soak.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.Fault.LinkTrouble;
import org.lockdale.soak.standin.StallDetector;
import org.lockdale.soak.standin.StandardStreams;

/** Forwards connections and datagrams between processes and injects faults into their links. */
public final class LinkProxy implements Closeable {

  /**
   * Delay of a link under {@link LinkTrouble#DELAYED}: ten times that between zones of a region.
   */
  private static final long DELAY_MILLIS = 150;

  /** Interval at which the proxy checks that its event loop is scheduled. */
  private static final long CHECK_INTERVAL_MILLIS = 50;

  /** Receives delays that the proxy itself causes. */
  @FunctionalInterface
  public interface DelayListener {

    /**
     * Called after a delay of a link, or of all links, that has just ended.
     *
     * @param what subject of the disruption, as {@link History} defines it
     * @param sinceMillis start of the delay, on the host's monotonic clock
     */
    void onDelay(String what, long sinceMillis);
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final OwnerLookup ownerLookup = new OwnerLookup();
  private final AtomicInteger unknownOwners = new AtomicInteger();
  private final Map<String, LinkState> links = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, String> datagramSenders = new ConcurrentHashMap<>();
  private final Map<String, Channel> datagramSockets = new ConcurrentHashMap<>();

  private final PairLinks pairs = new PairLinks();

  /** Numbers of the sources whose received addresses are replaced, by name. */
  private final Map<String, Integer> rewrittenSources = new ConcurrentHashMap<>();

  private final AtomicInteger foreignAddresses = new AtomicInteger();

  private final DelayListener delayListener;
  private long lastCheckMillis = StandardStreams.nowMillis();

  /** Creates a proxy that listens at no address yet. */
  public LinkProxy(DelayListener delayListener) {
    this.delayListener = delayListener;
    group.scheduleAtFixedRate(
        this::checkEventLoopDelay,
        CHECK_INTERVAL_MILLIS,
        CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Reports a delay if the event loop, which forwards all bytes, was not scheduled in time. */
  private void checkEventLoopDelay() {
    long now = StandardStreams.nowMillis();
    if (now - lastCheckMillis > CHECK_INTERVAL_MILLIS + StallDetector.STALL_THRESHOLD_MILLIS) {
      delayListener.onDelay(History.PROXY, lastCheckMillis);
    }
    lastCheckMillis = now;
  }

  /** Returns the number of connections whose process was not found; they get no faults. */
  public int unknownOwners() {
    return unknownOwners.get();
  }

  /** Returns the number of connections to an address that only another process should use. */
  public int foreignAddresses() {
    return foreignAddresses.get();
  }

  /** Sets the id of a process, by which the proxy finds its connections. */
  public void setProcess(String name, long processId) {
    ownerLookup.setProcess(name, processId);
  }

  /**
   * Listens at an address and forwards connections to a process.
   *
   * @param source the only process that connects to the address, or null if any may
   * @param destination process that connections are forwarded to
   * @param proxied address to listen at
   * @param real address of the destination
   */
  public void listen(
      @Nullable String source,
      String destination,
      InetSocketAddress proxied,
      InetSocketAddress real) {
    bind(proxied, new ConnectionAcceptor(source, destination, real, null));
  }

  /**
   * Listens at an address that only one process uses and forwards its connections to another. The
   * process that connects is looked up all the same, so that faults are those of its links.
   *
   * @param user process that uses the address
   * @param destination process that connections are forwarded to
   * @param proxied address to listen at
   * @param real address of the destination
   */
  public void listenForPair(
      String user, String destination, InetSocketAddress proxied, InetSocketAddress real) {
    pairs.add(
        user,
        link(user, destination),
        new PairListener(
            proxied, () -> bind(proxied, new ConnectionAcceptor(null, destination, real, user))));
  }

  /**
   * Replaces the addresses of servers in what a process receives from others on connections that
   * any process may open.
   *
   * @param number number of the node for which the addresses are
   */
  public void rewriteServerAddresses(String source, int number) {
    rewrittenSources.put(source, number);
  }

  private Channel bind(InetSocketAddress address, ConnectionAcceptor acceptor) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(acceptor)
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  /**
   * Forwards datagrams to a process, and those that it sends to others from its proxied address.
   */
  public void listenForDatagrams(
      String process, InetSocketAddress proxied, InetSocketAddress real) {
    datagramSenders.put(real, process);
    Channel socket =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new DatagramForwarder(process, real))
            .bind(proxied)
            .syncUninterruptibly()
            .channel();
    datagramSockets.put(process, socket);
  }

  /**
   * Injects a fault into the links between processes.
   *
   * @param source process that connects
   * @param destination process that listens, or {@link Deployment#ANY}
   */
  public void inject(String source, String destination, LinkTrouble trouble) {
    forEachLink(
        source,
        destination,
        link -> {
          switch (trouble) {
            case DELAYED -> link.setDelay(DELAY_MILLIS);
            case RESET -> link.reset();
            case CUT_FORTH -> link.setCut(true, true);
            case CUT_BACK -> link.setCut(false, true);
            case SILENCED -> link.silence();
          }
        });
  }

  /** Removes a fault; connections that were reset or silenced stay so. */
  public void remove(String source, String destination, LinkTrouble trouble) {
    forEachLink(
        source,
        destination,
        link -> {
          switch (trouble) {
            case DELAYED -> link.setDelay(0);
            case CUT_FORTH -> link.setCut(true, false);
            case CUT_BACK -> link.setCut(false, false);
            default -> {
              // Connections that were reset or silenced stay so; new ones work.
            }
          }
        });
  }

  /** Returns the addresses that a single process uses, where connecting can be made to fail. */
  public PairLinks pairs() {
    return pairs;
  }

  private void forEachLink(String source, String destination, Consumer<LinkState> action) {
    if (!destination.equals(Deployment.ANY)) {
      action.accept(link(source, destination));
      return;
    }
    links.forEach(
        (name, link) -> {
          if (name.startsWith(source + ">")) {
            action.accept(link);
          }
        });
  }

  private LinkState link(String source, String destination) {
    return links.computeIfAbsent(source + ">" + destination, name -> new LinkState());
  }

  private final class ConnectionAcceptor extends ChannelInitializer<Channel> {

    private final @Nullable String source;
    private final String destination;
    private final InetSocketAddress real;
    private final @Nullable String user;

    ConnectionAcceptor(
        @Nullable String source,
        String destination,
        InetSocketAddress real,
        @Nullable String user) {
      this.source = source;
      this.destination = destination;
      this.real = real;
      this.user = user;
    }

    @Override
    protected void initChannel(Channel accepted) {
      long acceptedAtMillis = StandardStreams.nowMillis();
      accepted.pipeline().addLast(new CloseOnFailureHandler());
      if (source != null) {
        accepted.eventLoop().execute(() -> connect(accepted, source, acceptedAtMillis));
        return;
      }
      int port = ((InetSocketAddress) accepted.remoteAddress()).getPort();
      InetSocketAddress local = (InetSocketAddress) accepted.localAddress();
      ownerLookup.request(
          owners -> {
            String owner = owners.ownerOf(port, local);
            if (owner == null) {
              unknownOwners.incrementAndGet();
            }
            if (owner != null && user != null && !owner.equals(user)) {
              foreignAddresses.incrementAndGet();
            }
            String name = owner == null ? "unknown" : owner;
            accepted.eventLoop().execute(() -> connect(accepted, name, acceptedAtMillis));
          });
    }

    /** Reports a delay if looking up the owner took long, as on a busy machine. */
    private void reportLateConnection(String owner, long acceptedAtMillis) {
      if (StandardStreams.nowMillis() - acceptedAtMillis > StallDetector.STALL_THRESHOLD_MILLIS) {
        delayListener.onDelay(History.delayedLink(owner, destination), acceptedAtMillis);
      }
    }

    private @Nullable ServerAddressRewriter rewriter(String owner) {
      Integer number = user == null && source == null ? rewrittenSources.get(owner) : null;
      return number == null ? null : new ServerAddressRewriter(number);
    }

    private void connect(Channel accepted, String owner, long acceptedAtMillis) {
      LinkState link = link(owner, destination);
      ChannelFuture connecting =
          new Bootstrap()
              .group(accepted.eventLoop())
              .channel(NioSocketChannel.class)
              .option(ChannelOption.AUTO_READ, false)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(new CloseOnFailureHandler())
              .connect(real);
      connecting.addListener(
          connected -> {
            reportLateConnection(owner, acceptedAtMillis);
            if (connected.isSuccess()) {
              new ProxiedConnection(link, accepted, connecting.channel(), rewriter(owner)).start();
            } else {
              accepted.config().setOption(ChannelOption.SO_LINGER, 0);
              accepted.close();
            }
          });
    }
  }

  /**
   * Closes a channel on failure. It precedes the handlers of a proxied connection, which propagate
   * failures to the other side.
   */
  private static final class CloseOnFailureHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.fireExceptionCaught(cause);
      context.close();
    }
  }

  private final class DatagramForwarder extends SimpleChannelInboundHandler<DatagramPacket> {

    private final String process;
    private final InetSocketAddress real;

    DatagramForwarder(String process, InetSocketAddress real) {
      this.process = process;
      this.real = real;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      String sender = datagramSenders.get(packet.sender());
      if (sender == null) {
        return;
      }
      LinkState link = link(sender, process);
      LinkState opposite = link(process, sender);
      if (link.isCut(true) || opposite.isCut(false)) {
        return;
      }
      DatagramPacket forwarded = new DatagramPacket(packet.content().retain(), real);
      Channel socket = datagramSockets.get(sender);
      context
          .executor()
          .schedule(
              () -> socket.writeAndFlush(forwarded), link.delayMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram to a terminated process is reported as an error; datagrams may be lost.
    }
  }

  @Override
  public void close() {
    ownerLookup.close();
    pairs.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
