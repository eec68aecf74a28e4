package org.lockdale.soak.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A proxied connection. All state is confined to the event loop that both channels share. */
final class ProxiedConnection {

  /** Queued bytes in one direction at which reading stops; the queue acts as a socket buffer. */
  private static final int MAX_QUEUED_BYTES = 256 * 1024;

  /** Time for which the start of what may be an address waits for the rest. */
  private static final long HOLDING_MILLIS = 20;

  private final LinkState link;
  private final Channel source;
  private final Channel destination;
  private final Direction outbound;
  private final Direction inbound;
  private boolean silenced;

  /**
   * Creates a connection.
   *
   * @param rewriter rewrites what the source receives, or null to leave it unchanged
   */
  ProxiedConnection(
      LinkState link,
      Channel source,
      Channel destination,
      @Nullable ServerAddressRewriter rewriter) {
    this.link = link;
    this.source = source;
    this.destination = destination;
    outbound = new Direction(true, source, destination, null);
    inbound = new Direction(false, destination, source, rewriter);
  }

  /** Starts forwarding bytes. */
  void start() {
    link.add(this);
    source.closeFuture().addListener(closed -> link.remove(this));
    source.pipeline().addLast(outbound);
    destination.pipeline().addLast(inbound);
    destination.closeFuture().addListener(closed -> outbound.discard());
    source.closeFuture().addListener(closed -> inbound.discard());
    source.config().setAutoRead(true);
    destination.config().setAutoRead(true);
  }

  /** Resumes forwarding after the faults of the link have changed. */
  void resume() {
    source.eventLoop().execute(outbound::forwardDue);
    source.eventLoop().execute(inbound::forwardDue);
  }

  /** Stops forwarding for good, without closing either end. */
  void silence() {
    source.eventLoop().execute(() -> silenced = true);
  }

  /** Closes both ends with a reset. */
  void reset() {
    source
        .eventLoop()
        .execute(
            () -> {
              closeWithReset(source);
              closeWithReset(destination);
            });
  }

  private static void closeWithReset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /**
   * Bytes to forward, or the end of the connection.
   *
   * @param bytes bytes, or null for the end of the connection
   * @param reset whether the connection ends by a reset
   * @param dueNanos when to forward it, as by {@link System#nanoTime}
   */
  private record QueuedEvent(@Nullable ByteBuf bytes, boolean reset, long dueNanos) {}

  private final class Direction extends ChannelInboundHandlerAdapter {

    private final boolean isOutbound;
    private final Channel from;
    private final Channel to;
    private final Deque<QueuedEvent> queue = new ArrayDeque<>();
    private int queuedBytes;
    private final @Nullable ServerAddressRewriter rewriter;
    private boolean failed;

    Direction(
        boolean isOutbound, Channel from, Channel to, @Nullable ServerAddressRewriter rewriter) {
      this.isOutbound = isOutbound;
      this.from = from;
      this.to = to;
      this.rewriter = rewriter;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      if (silenced || !to.isActive()) {
        bytes.release();
        return;
      }
      if (rewriter == null) {
        accept(bytes);
        return;
      }
      byte[] received = ByteBufUtil.getBytes(bytes);
      bytes.release();
      accept(Unpooled.wrappedBuffer(rewriter.rewrite(received)));
      if (rewriter.holdsBytes()) {
        from.eventLoop().schedule(this::acceptHeld, HOLDING_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private void accept(ByteBuf bytes) {
      queuedBytes += bytes.readableBytes();
      from.config().setAutoRead(queuedBytes < MAX_QUEUED_BYTES);
      enqueue(bytes);
    }

    private void acceptHeld() {
      if (rewriter != null && rewriter.holdsBytes()) {
        accept(Unpooled.wrappedBuffer(rewriter.takeHeld()));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failed = true;
      context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      acceptHeld();
      enqueue(null);
    }

    private void enqueue(@Nullable ByteBuf bytes) {
      long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(link.delayMillis());
      queue.add(new QueuedEvent(bytes, failed, due));
      forwardDue();
    }

    /** Releases what is queued for a channel that has closed. */
    void discard() {
      for (QueuedEvent next : queue) {
        if (next.bytes() != null) {
          next.bytes().release();
        }
      }
      queue.clear();
    }

    void forwardDue() {
      while (!queue.isEmpty() && !silenced && !link.isCut(isOutbound)) {
        long remaining = queue.peek().dueNanos() - System.nanoTime();
        if (remaining > 0) {
          to.eventLoop().schedule(this::forwardDue, remaining, TimeUnit.NANOSECONDS);
          return;
        }
        forward(queue.remove());
      }
    }

    private void forward(QueuedEvent next) {
      ByteBuf bytes = next.bytes();
      if (bytes == null) {
        if (next.reset()) {
          closeWithReset(to);
        } else {
          to.close();
        }
        return;
      }
      queuedBytes -= bytes.readableBytes();
      to.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      if (queuedBytes < MAX_QUEUED_BYTES) {
        from.config().setAutoRead(true);
      }
    }
  }
}
