package org.lockdale.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Counts the bytes that a connection's peer has not read. They are measured after each flush and,
 * while there are any, periodically, so that a connection whose peer reads at once costs no timer.
 * Closes the connection if its peer reads nothing for the idle timeout.
 */
final class QueueMeter extends ChannelDuplexHandler {

  /** Short against the time for which an unread response is held, which is a second. */
  private static final long MEASURE_INTERVAL_MILLIS = 100;

  private final HeldMemory.Account account;
  private final long maxUnreadNanos;
  private @Nullable ScheduledFuture<?> timer;
  private long queued;

  /** Value of {@link System#nanoTime} when bytes were last taken or the queue was empty. */
  private long lastTakenNanos;

  /**
   * Creates a meter.
   *
   * @param account counts the bytes
   * @param maxUnread time without any reading by the peer after which the connection is closed
   */
  QueueMeter(HeldMemory.Account account, Duration maxUnread) {
    this.account = account;
    this.maxUnreadNanos = maxUnread.toNanos();
  }

  /** Returns the bytes that are queued for a channel's socket; 0 once it is closed. */
  static long queuedBytes(Channel channel) {
    var buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  @Override
  public void flush(ChannelHandlerContext context) {
    context.flush();
    long now = queuedBytes(context.channel());
    if (now != queued) {
      measure(context, now);
    }
  }

  private void measure(ChannelHandlerContext context, long now) {
    if (now < queued || queued == 0) {
      lastTakenNanos = System.nanoTime();
    }
    queued = now;
    account.setQueued(now);
    if (now > 0 && timer == null) {
      timer =
          context
              .executor()
              .scheduleAtFixedRate(
                  () -> onTimer(context),
                  MEASURE_INTERVAL_MILLIS,
                  MEASURE_INTERVAL_MILLIS,
                  TimeUnit.MILLISECONDS);
    } else if (now == 0) {
      stopTimer();
    }
  }

  private void onTimer(ChannelHandlerContext context) {
    long now = queuedBytes(context.channel());
    if (now != queued) {
      measure(context, now);
    }
    long unreadNanos = System.nanoTime() - lastTakenNanos;
    if (queued > 0 && unreadNanos > maxUnreadNanos) {
      account.cutOff(TimeUnit.NANOSECONDS.toMillis(unreadNanos));
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    stopTimer();
    account.close();
    context.fireChannelInactive();
  }
}
