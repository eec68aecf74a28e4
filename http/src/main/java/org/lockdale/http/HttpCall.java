package org.lockdale.http;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/** A request that was passed to {@link HttpClient#send} and its reply. */
public final class HttpCall {

  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile @Nullable Channel channel;
  private volatile boolean sent;
  private volatile boolean connectionUsed;
  private boolean contentDiscarded;

  HttpCall() {}

  /**
   * Cancels the call: nothing more is reported to the listener, and its connection is closed
   * instead of being reused.
   *
   * @return whether the call was still in progress
   */
  public boolean cancel() {
    boolean first = tryEnd();
    Channel current = channel;
    if (first && current != null) {
      current.close();
    }
    return first;
  }

  /** Returns the age of the call's connection in milliseconds; 0 while the call has none. */
  public long connectionAgeMillis() {
    Channel current = channel;
    return current == null ? 0 : ConnectionPool.ageMillis(current);
  }

  /** Returns the local port of the call's connection; 0 while the call has none. */
  public int connection() {
    Channel current = channel;
    return current == null ? 0 : ConnectionPool.localPort(current);
  }

  /** Returns whether the call's connection carried another call before; false while it has none. */
  boolean isConnectionUsed() {
    return connectionUsed;
  }

  /**
   * Pauses or resumes reading from the peer. While reading is paused, a close by the peer is not
   * noticed. Must be called on the call's event loop; has no effect once the call has ended.
   */
  public void setReading(boolean reading) {
    Channel current = channel;
    if (current != null && !ended.get()) {
      current.config().setAutoRead(reading);
    }
  }

  /**
   * Discards the content that is still to arrive, so that the connection can be reused after a
   * short reply; a longer one fails the call. Must be called on the call's event loop.
   */
  public void discardContent() {
    contentDiscarded = true;
  }

  boolean discardsContent() {
    return contentDiscarded;
  }

  /** Returns whether any byte of the request may have left this process. */
  public boolean wasSent() {
    return sent;
  }

  /** Marks the call as ended; true only for the first caller, who alone reports the end. */
  boolean tryEnd() {
    return ended.compareAndSet(false, true);
  }

  boolean hasEnded() {
    return ended.get();
  }

  /**
   * Records the connection of the call.
   *
   * @param used whether it carried another call before
   */
  void attach(Channel connection, boolean used) {
    channel = connection;
    connectionUsed = used;
  }

  void markSent() {
    sent = true;
  }
}
