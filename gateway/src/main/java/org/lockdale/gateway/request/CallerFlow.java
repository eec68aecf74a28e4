package org.lockdale.gateway.request;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.flow.FlowLimits;
import org.lockdale.gateway.flow.HeldBytes;
import org.lockdale.http.HttpCall;
import org.lockdale.http.HttpExchange;

/**
 * Pauses and resumes the read of a streamed response by how fast the caller reads. A pause that
 * lasts for the unread wait is ended, and the response is read into the bound of the node, since a
 * backend cuts off a response that stays unread for some seconds. Confined to the event loop of the
 * caller's connection.
 */
final class CallerFlow {

  /** How the response is read. */
  private enum State {
    /** The caller reads. */
    FLOWING,
    /** The queue is above the high mark; the response is not read. */
    PAUSED,
    /** The pause took too long; the response is read into the bound. */
    HOLDING,
    /** The queue of one caller has its maximum size; the response is not read. */
    FULL
  }

  private final HttpExchange exchange;
  private final @Nullable HttpCall call;
  private final HeldBytes held;
  private final Time time;
  private final Runnable onResumed;
  private State state = State.FLOWING;
  private @Nullable ScheduledFuture<?> timer;
  private long unreadSinceMillis;
  private long queuedAtCheck;
  private boolean heldUp;
  private int incompleteBytes;

  /**
   * Creates the flow control of a response.
   *
   * @param exchange the caller
   * @param call the call whose response is read; null if there is none to pause
   * @param held counts what the node holds
   * @param time clock
   * @param onResumed run when the response is read again after a pause
   */
  CallerFlow(
      HttpExchange exchange,
      @Nullable HttpCall call,
      HeldBytes held,
      Time time,
      Runnable onResumed) {
    this.exchange = exchange;
    this.call = call;
    this.held = held;
    this.time = time;
    this.onResumed = onResumed;
    exchange.onWritable(this::onWritable);
  }

  /** Pauses the read if too much is queued. Must be called after each write to the caller. */
  void afterWrite() {
    if (state == State.FLOWING && !exchange.isWritable()) {
      unreadSinceMillis = time.steadyMillis();
      pause(State.PAUSED);
    } else if (state == State.HOLDING
        && exchange.queuedBytes() > FlowLimits.MAX_STREAM_BYTES - held.limits().lowMarkBytes()) {
      pause(State.FULL);
    }
  }

  /**
   * Counts the bytes of an event that is not complete. The caller is cut off if they find no room,
   * as nothing else is left to be closed then.
   */
  void recordIncomplete(int bytes) {
    int added = bytes - incompleteBytes;
    if (added > 0 && !exchange.held().tryReserveResponse(added)) {
      exchange.held().cutOff(0);
      return;
    }
    if (added < 0) {
      exchange.held().release(-added);
    }
    incompleteBytes = bytes;
  }

  /** Returns whether the response is not read now because of the caller. */
  boolean isPaused() {
    return state == State.PAUSED || state == State.FULL;
  }

  /** Returns whether the response was ever not read because of the caller. */
  boolean wasHeldUp() {
    return heldUp;
  }

  private void pause(State paused) {
    state = paused;
    heldUp = true;
    held.recordPause();
    setReading(false);
    queuedAtCheck = exchange.queuedBytes();
    timer =
        exchange
            .eventLoop()
            .schedule(this::onUnreadWait, held.limits().unreadWaitMillis(), TimeUnit.MILLISECONDS);
  }

  private void onUnreadWait() {
    boolean nothingRead = exchange.queuedBytes() >= queuedAtCheck;
    if (state == State.FULL && nothingRead) {
      exchange.held().cutOff(time.steadyMillis() - unreadSinceMillis);
      return;
    }
    resume(State.HOLDING);
  }

  private void onWritable() {
    if (isPaused()) {
      resume(State.FLOWING);
    } else {
      state = State.FLOWING;
    }
  }

  private void resume(State next) {
    state = next;
    stopTimer();
    held.recordResume();
    onResumed.run();
    setReading(true);
  }

  private void setReading(boolean reading) {
    HttpCall current = call;
    if (current != null) {
      current.setReading(reading);
    }
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  /** Ends the flow control. Must be called when the response has ended. */
  void close() {
    if (isPaused()) {
      held.recordResume();
    }
    state = State.FLOWING;
    stopTimer();
    recordIncomplete(0);
    exchange.onWritable(null);
  }
}
