package org.lockdale.soak.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One proxied connection. All state belongs to the event loop that both channels share. */
final class Relay {

  /**
   * Bytes that wait in one direction before the relay stops reading, as a socket's buffer would.
   */
  private static final int MOST_WAITING_BYTES = 256 * 1024;

  private final LinkState link;
  private final Channel source;
  private final Channel destination;
  private final Direction forth;
  private final Direction back;
  private boolean silent;

  Relay(LinkState link, Channel source, Channel destination) {
    this.link = link;
    this.source = source;
    this.destination = destination;
    forth = new Direction(true, source, destination);
    back = new Direction(false, destination, source);
  }

  /** Begins to pass bytes on. */
  void start() {
    link.add(this);
    source.closeFuture().addListener(closed -> link.remove(this));
    source.pipeline().addLast(forth);
    destination.pipeline().addLast(back);
    destination.closeFuture().addListener(closed -> forth.discard());
    source.closeFuture().addListener(closed -> back.discard());
    source.config().setAutoRead(true);
    destination.config().setAutoRead(true);
  }

  /** Goes on after the link's behaviour has changed. */
  void resume() {
    source.eventLoop().execute(forth::drain);
    source.eventLoop().execute(back::drain);
  }

  /** Passes nothing on any more and closes nothing. */
  void silence() {
    source.eventLoop().execute(() -> silent = true);
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

  /** Bytes, or the end of the connection where there are none, and when they may pass. */
  private record Waiting(@Nullable ByteBuf bytes, boolean reset, long dueNanos) {}

  private final class Direction extends ChannelInboundHandlerAdapter {

    private final boolean isForth;
    private final Channel from;
    private final Channel to;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private boolean failed;

    Direction(boolean isForth, Channel from, Channel to) {
      this.isForth = isForth;
      this.from = from;
      this.to = to;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      if (silent || !to.isActive()) {
        bytes.release();
        return;
      }
      waitingBytes += bytes.readableBytes();
      from.config().setAutoRead(waitingBytes < MOST_WAITING_BYTES);
      add(bytes);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failed = true;
      context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      add(null);
    }

    private void add(@Nullable ByteBuf bytes) {
      long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(link.delayMillis());
      waiting.add(new Waiting(bytes, failed, due));
      drain();
    }

    /** Drops what waits for a channel that has closed. */
    void discard() {
      for (Waiting next : waiting) {
        if (next.bytes() != null) {
          next.bytes().release();
        }
      }
      waiting.clear();
    }

    void drain() {
      while (!waiting.isEmpty() && !silent && !link.isCut(isForth)) {
        long left = waiting.peek().dueNanos() - System.nanoTime();
        if (left > 0) {
          to.eventLoop().schedule(this::drain, left, TimeUnit.NANOSECONDS);
          return;
        }
        pass(waiting.remove());
      }
    }

    private void pass(Waiting next) {
      ByteBuf bytes = next.bytes();
      if (bytes == null) {
        if (next.reset()) {
          closeWithReset(to);
        } else {
          to.close();
        }
        return;
      }
      waitingBytes -= bytes.readableBytes();
      to.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      if (waitingBytes < MOST_WAITING_BYTES) {
        from.config().setAutoRead(true);
      }
    }
  }
}
