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
 * Sends the response to the caller. The head of a stream is sent with its first event, so that the
 * request can be retried at another engine until then. If the request has an idempotency key, keeps
 * a copy of the response up to a size limit, to be stored for repeats of the request.
 */
final class ResponseSink {

  private static final int OK = 200;
  private static final long MAX_QUEUED_BYTES = 1024 * 1024;
  private static final int MAX_COPY_BYTES = 256 * 1024;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final byte[] DONE =
      ServerSentEventDecoder.DONE.getBytes(StandardCharsets.US_ASCII);

  private final RequestContext context;
  private final HttpExchange exchange;
  private @Nullable ByteArrayOutputStream copy;
  private String contentType = "";
  private boolean started;
  private @Nullable ByteBuf batch;

  ResponseSink(RequestContext context) {
    this.context = context;
    this.exchange = context.exchange;
    this.copy = context.isRunOnce() ? new ByteArrayOutputStream() : null;
  }

  /** Returns whether any part of the response was sent. */
  boolean hasStarted() {
    return started;
  }

  /**
   * Adds an event of a stream to the batch that the next {@link #flush} sends. If the caller has
   * disconnected, the event is only added to the copy.
   *
   * @return false if the caller reads so slowly that its send queue is over the limit
   */
  boolean relayEvent(ByteBuf event) {
    if (!started) {
      started = true;
      contentType = EVENT_STREAM;
      context.enter(RequestStage.FIRST_TOKEN);
      exchange.startStream(OK, headers(EVENT_STREAM, Outcome.UNKNOWN));
    }
    context.relayedEvents++;
    appendToCopy(event);
    if (context.callerDisconnected) {
      return true;
    }
    if (batch == null) {
      batch = exchange.allocate(event.readableBytes());
    }
    batch.writeBytes(event, event.readerIndex(), event.readableBytes());
    return exchange.queuedBytes() <= MAX_QUEUED_BYTES;
  }

  /** Sends the batched events as one part. */
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

  private void appendToCopy(ByteBuf part) {
    if (copy == null) {
      return;
    }
    if (copy.size() + part.readableBytes() > MAX_COPY_BYTES) {
      copy = null;
      return;
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.getBytes(part.readerIndex(), bytes);
    copy.writeBytes(bytes);
  }

  /** Ends a complete stream with the end marker. */
  void endStream() {
    flush();
    ByteBuf done = Unpooled.wrappedBuffer(DONE);
    appendToCopy(done);
    exchange.write(done);
    exchange.endStream();
  }

  /** Sends a complete response that is not a stream. */
  void sendComplete(byte[] body) {
    started = true;
    contentType = HttpReply.JSON;
    context.enter(RequestStage.FIRST_TOKEN);
    appendToCopy(Unpooled.wrappedBuffer(body));
    exchange.reply(new HttpReply(OK, headers(HttpReply.JSON, Outcome.COMPLETE), body));
  }

  /**
   * Ends a stream that can't be completed: sends an error event and closes the connection without
   * the end marker.
   */
  void abort(RequestException error) {
    flush();
    String json = new String(error.toBody().toJson(), StandardCharsets.UTF_8);
    exchange.write(
        Unpooled.copiedBuffer("event: error\ndata: " + json + "\n\n", StandardCharsets.UTF_8));
    exchange.abort();
  }

  /**
   * Returns the copy of the response, or null if the response was too large or the request has no
   * idempotency key.
   */
  byte @Nullable [] responseCopy() {
    return copy == null ? null : copy.toByteArray();
  }

  /** Returns the media type of the response, or an empty string before its first part. */
  String contentType() {
    return contentType;
  }
}
