package org.lockdale.router.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpReply;
import org.lockdale.http.ServerSentEventDecoder;
import org.lockdale.openai.HeaderNames;
import org.lockdale.openai.Outcome;
import org.lockdale.router.error.RequestException;

/**
 * The way of an answer to the caller. The head of a stream is sent with its first event, so that
 * until then another engine can be tried. Keeps a bounded copy where repeats will want it.
 */
final class AnswerSink {

  private static final int OK = 200;
  private static final long MAX_QUEUED_BYTES = 1024 * 1024;
  private static final int MAX_KEPT_BYTES = 256 * 1024;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final byte[] DONE =
      ServerSentEventDecoder.DONE.getBytes(StandardCharsets.US_ASCII);

  private final RequestContext context;
  private final HttpExchange exchange;
  private @Nullable ByteArrayOutputStream kept;
  private String contentType = "";
  private boolean started;
  private @Nullable ByteBuf batch;

  AnswerSink(RequestContext context) {
    this.context = context;
    this.exchange = context.exchange;
    this.kept = context.isRunOnce() ? new ByteArrayOutputStream() : null;
  }

  /** Returns whether any part of an answer was sent. */
  boolean hasStarted() {
    return started;
  }

  /**
   * Sends an event of a stream; it leaves with the next {@link #flush}.
   *
   * @return false where the caller reads so slowly that its queue is full
   */
  boolean event(ByteBuf event) {
    if (!started) {
      started = true;
      contentType = EVENT_STREAM;
      context.enter(RequestStage.FIRST_TOKEN);
      exchange.startStream(OK, headers(EVENT_STREAM, Outcome.UNKNOWN));
    }
    context.relayedTokens++;
    keep(event);
    if (context.callerLeft) {
      return true;
    }
    if (batch == null) {
      batch = exchange.allocate(event.readableBytes());
    }
    batch.writeBytes(event, event.readerIndex(), event.readableBytes());
    return exchange.queuedBytes() <= MAX_QUEUED_BYTES;
  }

  /** Sends the events gathered so far as one part. */
  void flush() {
    if (batch != null) {
      exchange.write(batch);
      batch = null;
    }
  }

  private HttpHeaders headers(String type, Outcome outcome) {
    return new DefaultHttpHeaders()
        .set("content-type", type)
        .set(HeaderNames.REQUEST_ID, context.requestId)
        .set(HeaderNames.ENGINE, context.engineId())
        .set(HeaderNames.OUTCOME, outcome.wireName());
  }

  private void keep(ByteBuf part) {
    if (kept == null) {
      return;
    }
    if (kept.size() + part.readableBytes() > MAX_KEPT_BYTES) {
      kept = null;
      return;
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.getBytes(part.readerIndex(), bytes);
    kept.writeBytes(bytes);
  }

  /** Ends a stream that is whole. */
  void endOfStream() {
    flush();
    ByteBuf done = Unpooled.wrappedBuffer(DONE);
    keep(done);
    exchange.write(done);
    exchange.endStream();
  }

  /** Sends a whole answer. */
  void whole(byte[] body) {
    started = true;
    contentType = HttpReply.JSON;
    context.enter(RequestStage.FIRST_TOKEN);
    keep(Unpooled.wrappedBuffer(body));
    exchange.reply(new HttpReply(OK, headers(HttpReply.JSON, Outcome.COMPLETE), body));
  }

  /**
   * Ends a stream that can't become whole: an error event tells so, and the connection closes
   * without the end marker.
   */
  void breakOff(RequestException error) {
    flush();
    String json = new String(error.toBody().toJson(), StandardCharsets.UTF_8);
    exchange.write(
        Unpooled.copiedBuffer("event: error\ndata: " + json + "\n\n", StandardCharsets.UTF_8));
    exchange.abort();
  }

  /** Returns the kept copy of the answer, or null where it was too large. */
  byte @Nullable [] keptAnswer() {
    return kept == null ? null : kept.toByteArray();
  }

  /** Returns the media type of the answer. */
  String contentType() {
    return contentType;
  }
}
