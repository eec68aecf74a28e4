package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.AnswerHead;
import org.lockdale.http.ServerSentEventDecoder;

/**
 * Passes a stream on to the caller, whole events only, so that a stream which breaks within an
 * event can be continued by another back end. The answer's head is sent with the first event; until
 * then the request can still be answered otherwise.
 */
final class StreamRelay {

  /** Bytes that may wait for a caller that does not read. */
  private static final long MAX_QUEUED_BYTES = 1024 * 1024;

  private final RequestState state;
  private final AnswerHead head;
  private final Time time;
  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(this::onEvent);
  private final long resumedAfter;
  private boolean begun;

  StreamRelay(RequestState state, AnswerHead head, Time time) {
    this.state = state;
    this.time = time;
    this.head = head;
    this.resumedAfter = state.answerStarted ? numberOf(state.lastEventId) : Long.MIN_VALUE;
  }

  private static long numberOf(String eventId) {
    return Long.parseLong(eventId);
  }

  void accept(ByteBuf content) {
    decoder.decode(content);
    if (state.answerStarted) {
      state.exchange.flush();
    }
  }

  private void onEvent(long id, ByteBuf event) {
    begun = true;
    state.eventPassed(time.monotonicMillis());
    boolean repeated = id != ServerSentEventDecoder.NO_ID && id <= resumedAfter;
    if (repeated) {
      return;
    }
    if (id != ServerSentEventDecoder.NO_ID) {
      state.lastEventId = Long.toString(id);
    }
    send(event);
  }

  private void send(ByteBuf bytes) {
    startAnswer();
    state.exchange.write(bytes.retainedSlice());
  }

  private void startAnswer() {
    if (!state.answerStarted) {
      state.answerStarted = true;
      state.exchange.startStream(head.status(), head.headers());
    }
  }

  /** Returns whether any event has come. */
  boolean hasBegun() {
    return begun;
  }

  /** Returns whether too much waits for the caller. */
  boolean isCallerTooSlow() {
    return state.exchange.queuedBytes() > MAX_QUEUED_BYTES;
  }

  /** Ends the answer as complete. */
  void end() {
    ByteBuf rest = decoder.remainder();
    if (rest.isReadable()) {
      send(rest);
    }
    startAnswer();
    state.exchange.endStream();
  }

  void close() {
    decoder.close();
  }
}
