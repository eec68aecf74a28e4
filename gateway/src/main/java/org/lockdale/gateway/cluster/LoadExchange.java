package org.lockdale.gateway.cluster;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.http.HttpBindException;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.EngineLoad;
import org.tinylog.Logger;

/**
 * Tells other nodes, by datagrams, how many prompt tokens of this node wait at each engine: soon
 * after the number has changed by much, and from time to time while it is not zero. Runs on one
 * event loop.
 */
public final class LoadExchange {

  private static final long TICK_MILLIS = 5;
  private static final long REPEAT_MILLIS = 500;

  /** Smaller changes are not worth a message. */
  private static final long LEAST_CHANGE_TOKENS = 1_000;

  /** Messages go to this many nodes at most. */
  private static final int MAX_PEERS = 32;

  /** Expectations that wait to be told; further ones are dropped. */
  private static final int MAX_EXPECTATIONS = 256;

  private record Expectation(String engine, List<Long> parts) {}

  private record Told(long waitingTokens, long atMillis) {}

  private final String nodeId;
  private final InetSocketAddress address;
  private final EventLoop eventLoop;
  private final Supplier<BackendTable> backends;
  private final Supplier<List<PeerNode>> peers;
  private final PeerLoads loads;
  private final BiConsumer<String, List<Long>> onExpected;
  private final Queue<Expectation> expectations = new ConcurrentLinkedQueue<>();
  private final Map<String, Told> told = new HashMap<>();
  private final MessageCodec<EngineLoad> codec = MessageCodec.engineLoads();
  private Channel channel;

  /**
   * Creates an exchange; {@link #start} starts it.
   *
   * @param nodeId id of this node
   * @param address where this node takes datagrams
   * @param eventLoop runs the exchange
   * @param backends back ends on record
   * @param peers other nodes
   * @param loads where to write what they tell
   * @param onExpected receives the parts of prompts that an engine will hold soon
   */
  public LoadExchange(
      String nodeId,
      InetSocketAddress address,
      EventLoop eventLoop,
      Supplier<BackendTable> backends,
      Supplier<List<PeerNode>> peers,
      PeerLoads loads,
      BiConsumer<String, List<Long>> onExpected) {
    this.onExpected = onExpected;
    this.nodeId = nodeId;
    this.address = address;
    this.eventLoop = eventLoop;
    this.backends = backends;
    this.peers = peers;
    this.loads = loads;
  }

  /**
   * Binds the address and starts to tell.
   *
   * @throws HttpBindException if the address can't be bound
   */
  public void start() {
    var bound =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new HttpBindException(address, bound.cause());
    }
    channel = bound.channel();
    eventLoop.scheduleAtFixedRate(this::tell, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Tells the other nodes that an engine will hold parts of prompts soon. */
  public void expect(String engine, List<Long> parts) {
    if (expectations.size() < MAX_EXPECTATIONS) {
      expectations.add(new Expectation(engine, parts));
    }
  }

  private void tell() {
    List<PeerNode> receivers = peers.get();
    if (receivers.isEmpty()) {
      expectations.clear();
      return;
    }
    tellExpectations(receivers);
    long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    for (TrackedBackend tracked : backends.get().all()) {
      long waiting = tracked.load().waitingTokens();
      String engine = tracked.backend().id();
      Told before = told.getOrDefault(engine, new Told(0, now));
      if (isNews(before, waiting, now)) {
        told.put(engine, new Told(waiting, now));
        send(engine, waiting, List.of(), receivers);
      }
    }
  }

  private void tellExpectations(List<PeerNode> receivers) {
    Expectation next = expectations.poll();
    while (next != null) {
      long waiting = told.getOrDefault(next.engine(), new Told(0, 0)).waitingTokens();
      send(next.engine(), waiting, next.parts(), receivers);
      next = expectations.poll();
    }
  }

  private static boolean isNews(Told before, long waiting, long now) {
    boolean emptied = waiting == 0 && before.waitingTokens() > 0;
    boolean changed = Math.abs(waiting - before.waitingTokens()) >= LEAST_CHANGE_TOKENS;
    boolean due = before.waitingTokens() > 0 && now - before.atMillis() >= REPEAT_MILLIS;
    return emptied || changed || due;
  }

  private void send(String engine, long waiting, List<Long> parts, List<PeerNode> receivers) {
    byte[] message = codec.encode(new EngineLoad(nodeId, engine, waiting, parts));
    for (PeerNode peer : receivers.subList(0, Math.min(MAX_PEERS, receivers.size()))) {
      channel.write(
          new DatagramPacket(Unpooled.wrappedBuffer(message), peer.address()),
          channel.voidPromise());
    }
    channel.flush();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      ByteBuf content = packet.content();
      try {
        EngineLoad load = codec.decode(ByteBufUtil.getBytes(content));
        loads.told(load.getNode(), load.getEngine(), load.getWaitingTokens());
        if (!load.getExpectedParts().isEmpty()) {
          onExpected.accept(load.getEngine(), load.getExpectedParts());
        }
      } catch (RuntimeException malformed) {
        Logger.debug("event=datagram-rejected sender={}", packet.sender());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("event=datagram-failed cause={}", cause.toString());
    }
  }
}
