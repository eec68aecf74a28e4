package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.BodyFraming;
import org.lockdale.http.ServerSentEventDecoder;

/**
 * Forwards a stream to the caller in complete events only, so that another backend can continue a
 * stream that breaks within an event. The head of the response is sent with the first event; until
 * then another response can still be sent.
 */
final class StreamForwarder {

  private final CallerResponse.Source source;
  private final BodyFraming framing;
  private final CallerFlow flow;
  private final Time time;
  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(this::onEvent);
  private boolean started;
  private int newEvents;

  /**
   * Creates a forwarder.
   *
   * @param source writes the response; the head of the stream must have been set
   * @param flow pauses the read for a slow caller; closed with the forwarder
   */
  StreamForwarder(CallerResponse.Source source, BodyFraming framing, CallerFlow flow, Time time) {
    this.source = source;
    this.framing = framing;
    this.flow = flow;
    this.time = time;
  }

  /**
   * Forwards the events that a part of the stream completes.
   *
   * @throws IllegalArgumentException if the stream can't be parsed
   */
  void accept(ByteBuf content) {
    decoder.decode(content);
    flow.recordIncomplete(decoder.remainder().readableBytes());
    flow.afterWrite();
  }

  private void onEvent(long id, ByteBuf event) {
    started = true;
    newEvents++;
    source.write(id, event, time.monotonicMillis());
  }

  BodyFraming framing() {
    return framing;
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

  /**
   * Completes the response; the stream must be whole.
   *
   * @return false if another source writes the response
   */
  boolean end() {
    if (decoder.remainder().isReadable()) {
      source.write(ServerSentEventDecoder.NO_ID, decoder.remainder(), time.monotonicMillis());
    }
    return source.endStream();
  }

  void close() {
    decoder.close();
    flow.close();
  }
}
