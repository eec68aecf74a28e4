package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.ResponseHead;
import org.lockdale.http.ServerSentEventDecoder;

/**
 * Forwards a stream to the caller in whole events only, so that another backend can continue a
 * stream that breaks within an event. The head of the answer is sent with the first event; until
 * then the request can still be answered differently.
 */
final class StreamForwarder {

  /** Maximum number of bytes that are buffered for a caller that does not read. */
  private static final long MAX_QUEUED_BYTES = 1024 * 1024;

  private final RequestState state;
  private final ResponseHead head;
  private final Time time;
  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(this::onEvent);
  private final long resumedAfter;
  private boolean begun;

  StreamForwarder(RequestState state, ResponseHead head, Time time) {
    this.state = state;
    this.time = time;
    this.head = head;
    this.resumedAfter = state.answerStarted ? parseEventId(state.lastEventId) : Long.MIN_VALUE;
  }

  private static long parseEventId(String eventId) {
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
    state.recordEvent(time.monotonicMillis());
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

  /** Returns whether any event was received. */
  boolean hasBegun() {
    return begun;
  }

  /** Returns whether too many bytes are buffered for the caller. */
  boolean isCallerTooSlow() {
    return state.exchange.queuedBytes() > MAX_QUEUED_BYTES;
  }

  /** Completes the answer, with the rest of the stream that is no whole event. */
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
