package org.lockdale.http;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/** A call in progress. */
public final class HttpCall {

  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile @Nullable Channel channel;
  private volatile boolean sent;

  HttpCall() {}

  /**
   * Gives the call up: the listener hears nothing more and the connection is closed, never reused.
   *
   * @return whether the call was still in progress
   */
  public boolean cancel() {
    boolean first = end();
    Channel current = channel;
    if (first && current != null) {
      current.close();
    }
    return first;
  }

  /** Returns how long ago the connection that carries the call came up; 0 before it has one. */
  public long connectionAgeMillis() {
    Channel current = channel;
    return current == null ? 0 : TimeUnit.NANOSECONDS.toMillis(ConnectionPool.ageNanos(current));
  }

  /** Returns whether any byte of the request may have left this process. */
  public boolean wasSent() {
    return sent;
  }

  /** Takes the right to report the end of the call; true once. */
  boolean end() {
    return ended.compareAndSet(false, true);
  }

  boolean hasEnded() {
    return ended.get();
  }

  void attach(Channel connection) {
    channel = connection;
  }

  void markSent() {
    sent = true;
  }
}
