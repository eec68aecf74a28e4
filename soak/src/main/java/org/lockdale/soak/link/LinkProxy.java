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
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.plan.Deployment;
import org.lockdale.soak.plan.Fault.LinkTrouble;
import org.lockdale.soak.standin.StallWatch;
import org.lockdale.soak.standin.StandardStreams;

/** Passes connections and datagrams between processes and harms them as told. */
public final class LinkProxy implements Closeable {

  /** How late bytes are on a delayed link; ten times a link between zones of one region. */
  private static final long DELAY_MILLIS = 150;

  /** How often the proxy looks whether it is run. */
  private static final long LOOK_MILLIS = 50;

  /** Told of what the proxy itself passes on late. */
  @FunctionalInterface
  public interface DelayListener {

    /** Takes in that a link, or all of them, was held up since a moment until now. */
    void onHeldUp(String what, long sinceMillis);
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Consumer<ConnectionOwners>> waiting = new LinkedBlockingQueue<>();
  private final Thread lookups = new Thread(this::lookUp, "connection-owners");
  private final AtomicInteger unknownOwners = new AtomicInteger();
  private final Map<String, Long> processes = new ConcurrentHashMap<>();
  private final Map<String, LinkState> links = new ConcurrentHashMap<>();
  private final Map<InetSocketAddress, String> datagramSenders = new ConcurrentHashMap<>();
  private final Map<String, Channel> datagramSockets = new ConcurrentHashMap<>();

  private final DelayListener delays;
  private long lookedAtMillis = StandardStreams.nowMillis();

  /** Creates a proxy that passes nothing yet. */
  public LinkProxy(DelayListener delays) {
    this.delays = delays;
    lookups.setDaemon(true);
    lookups.start();
    group.scheduleAtFixedRate(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Notices when the event loop that passes all bytes was not run in time. */
  private void look() {
    long now = StandardStreams.nowMillis();
    if (now - lookedAtMillis > LOOK_MILLIS + StallWatch.STALL_MILLIS) {
      delays.onHeldUp(History.PROXY, lookedAtMillis);
    }
    lookedAtMillis = now;
  }

  private void lookUp() {
    List<Consumer<ConnectionOwners>> connections = new ArrayList<>();
    try {
      while (true) {
        connections.add(waiting.take());
        waiting.drainTo(connections);
        ConnectionOwners owners = ConnectionOwners.read(processes);
        connections.forEach(connection -> connection.accept(owners));
        connections.clear();
      }
    } catch (InterruptedException | RejectedExecutionException closed) {
      Thread.currentThread().interrupt();
    } catch (IOException noTables) {
      throw new UncheckedIOException(noTables);
    }
  }

  /** Returns the number of connections whose process was not found; no trouble reaches them. */
  public int unknownOwners() {
    return unknownOwners.get();
  }

  /** Tells the proxy the id of a process, so that its connections are known. */
  public void setProcess(String name, long processId) {
    processes.put(name, processId);
  }

  /**
   * Listens at an address and passes connections on to a process.
   *
   * @param source the only process that knows the address, or null if any may connect
   * @param destination process that connections are passed on to
   */
  public void listen(
      @Nullable String source,
      String destination,
      InetSocketAddress proxied,
      InetSocketAddress real) {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new Accepting(source, destination, real))
        .bind(proxied)
        .syncUninterruptibly();
  }

  /** Passes datagrams on to a process, and those it sends on to others from its proxied address. */
  public void listenForDatagrams(
      String process, InetSocketAddress proxied, InetSocketAddress real) {
    datagramSenders.put(real, process);
    Channel socket =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new PassingDatagrams(process, real))
            .bind(proxied)
            .syncUninterruptibly()
            .channel();
    datagramSockets.put(process, socket);
  }

  /** Brings trouble on the links between processes, of which one or both may be any. */
  public void harm(String source, String destination, LinkTrouble trouble) {
    forLinks(
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

  /** Ends trouble; what was reset or silenced stays so. */
  public void heal(String source, String destination, LinkTrouble trouble) {
    forLinks(
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

  private void forLinks(String source, String destination, Consumer<LinkState> action) {
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

  private final class Accepting extends ChannelInitializer<Channel> {

    private final @Nullable String source;
    private final String destination;
    private final InetSocketAddress real;

    Accepting(@Nullable String source, String destination, InetSocketAddress real) {
      this.source = source;
      this.destination = destination;
      this.real = real;
    }

    @Override
    protected void initChannel(Channel accepted) {
      long acceptedAtMillis = StandardStreams.nowMillis();
      accepted.pipeline().addLast(new FailureHandler());
      if (source != null) {
        accepted.eventLoop().execute(() -> connect(accepted, source, acceptedAtMillis));
        return;
      }
      int port = ((InetSocketAddress) accepted.remoteAddress()).getPort();
      InetSocketAddress local = (InetSocketAddress) accepted.localAddress();
      waiting.add(
          owners -> {
            String owner = owners.of(port, local);
            if (owner == null) {
              unknownOwners.incrementAndGet();
            }
            String name = owner == null ? "unknown" : owner;
            accepted.eventLoop().execute(() -> connect(accepted, name, acceptedAtMillis));
          });
    }

    /** Looking up whose connection it is takes long on a busy machine. */
    private void connected(String owner, long acceptedAtMillis) {
      if (StandardStreams.nowMillis() - acceptedAtMillis > StallWatch.STALL_MILLIS) {
        delays.onHeldUp(History.linkHeldUp(owner, destination), acceptedAtMillis);
      }
    }

    private void connect(Channel accepted, String owner, long acceptedAtMillis) {
      LinkState link = link(owner, destination);
      ChannelFuture connecting =
          new Bootstrap()
              .group(accepted.eventLoop())
              .channel(NioSocketChannel.class)
              .option(ChannelOption.AUTO_READ, false)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(new FailureHandler())
              .connect(real);
      connecting.addListener(
          connected -> {
            connected(owner, acceptedAtMillis);
            if (connected.isSuccess()) {
              new Relay(link, accepted, connecting.channel()).start();
            } else {
              accepted.config().setOption(ChannelOption.SO_LINGER, 0);
              accepted.close();
            }
          });
    }
  }

  /** Stands before a relay's handlers, which tell the other side of failures themselves. */
  private static final class FailureHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.fireExceptionCaught(cause);
      context.close();
    }
  }

  private final class PassingDatagrams extends SimpleChannelInboundHandler<DatagramPacket> {

    private final String process;
    private final InetSocketAddress real;

    PassingDatagrams(String process, InetSocketAddress real) {
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
      DatagramPacket passed = new DatagramPacket(packet.content().retain(), real);
      Channel socket = datagramSockets.get(sender);
      context
          .executor()
          .schedule(() -> socket.writeAndFlush(passed), link.delayMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram to a process that has ended comes back as an error; datagrams may be lost.
    }
  }

  @Override
  public void close() {
    lookups.interrupt();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
