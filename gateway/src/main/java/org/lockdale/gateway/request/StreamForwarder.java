package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.ResponseHead;
import org.lockdale.http.BodyFraming;
import org.lockdale.http.ServerSentEventDecoder;

/**
 * Forwards a stream to the caller in complete events only, so that another backend can continue a
 * stream that breaks within an event. The head of the response is sent with the first event; until
 * then another response can still be sent.
 */
final class StreamForwarder {

  private final RequestState state;
  private final ResponseHead head;
  private final BodyFraming framing;
  private final CallerFlow flow;
  private final Runnable onResponseStart;
  private final Time time;
  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(this::onEvent);
  private final long resumedAfter;
  private boolean started;
  private int newEvents;

  /**
   * Creates a forwarder.
   *
   * @param flow pauses the read for a slow caller; closed with the forwarder
   * @param onResponseStart run before the response to the caller is started
   */
  StreamForwarder(
      RequestState state,
      ResponseHead head,
      BodyFraming framing,
      CallerFlow flow,
      Runnable onResponseStart,
      Time time) {
    this.state = state;
    this.time = time;
    this.head = head;
    this.framing = framing;
    this.flow = flow;
    this.onResponseStart = onResponseStart;
    this.resumedAfter = state.responseStarted ? parseEventId(state.lastEventId) : Long.MIN_VALUE;
  }

  private static long parseEventId(String eventId) {
    return Long.parseLong(eventId);
  }

  void accept(ByteBuf content) {
    decoder.decode(content);
    if (state.responseStarted) {
      state.exchange.flush();
    }
    flow.recordIncomplete(decoder.remainder().readableBytes());
    flow.afterWrite();
  }

  private void onEvent(long id, ByteBuf event) {
    started = true;
    newEvents++;
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
    startResponse();
    // A slice keeps all of the buffer that was read, so what is queued is copied.
    boolean queues = state.exchange.queuedBytes() > 0;
    state.exchange.write(queues ? bytes.copy() : bytes.retainedSlice());
  }

  private void startResponse() {
    if (!state.responseStarted) {
      state.responseStarted = true;
      onResponseStart.run();
      state.exchange.startStream(head.status(), head.headers());
    }
  }

  /** Returns the flow control of the stream. */
  CallerFlow flow() {
    return flow;
  }

  /** Returns whether any event was received. */
  boolean hasStarted() {
    return started;
  }

  /** Returns the number of events that were received since the last call. */
  int takeNewEvents() {
    int taken = newEvents;
    newEvents = 0;
    return taken;
  }

  /**
   * Returns whether a stream that has ended is whole. One that ends inside an event was broken off,
   * whatever its framing. A close-delimited one without any event counts as broken off as well:
   * even where it resumes a stream of which no event may be left, its server may have crashed
   * before the first one.
   */
  boolean isWhole() {
    boolean mayBeEmpty = framing != BodyFraming.CLOSE_DELIMITED;
    return decoder.isBetweenEvents() && (started || mayBeEmpty);
  }

  /** Completes the response; the stream must be whole. */
  void end() {
    startResponse();
    if (decoder.remainder().isReadable()) {
      send(decoder.remainder());
    }
    state.exchange.endStream();
  }

  void close() {
    decoder.close();
    flow.close();
  }
}
