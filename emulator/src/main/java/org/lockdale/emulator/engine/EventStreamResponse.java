package org.lockdale.emulator.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.ServerSentEventDecoder;
import org.lockdale.openai.CompletionJson;
import org.lockdale.openai.HeaderNames;

/** Sends output as server-sent events; the id of an event is the index of its token. */
final class EventStreamResponse implements ResponseOutput {

  private static final byte[] DONE =
      ServerSentEventDecoder.DONE.getBytes(StandardCharsets.US_ASCII);

  private final HttpExchange exchange;
  private final CompletionJson json;
  private final String attemptId;
  private final String incarnation;

  EventStreamResponse(
      HttpExchange exchange, CompletionJson json, String attemptId, String incarnation) {
    this.exchange = exchange;
    this.json = json;
    this.attemptId = attemptId;
    this.incarnation = incarnation;
  }

  @Override
  public void start() {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("content-type", "text/event-stream")
            .set(HeaderNames.ATTEMPT_ID, attemptId)
            .set(HeaderNames.ENGINE_INCARNATION, incarnation);
    exchange.startStream(200, headers);
    exchange.flush();
  }

  @Override
  public void onToken(int index, String text) {
    exchange.write(event(index, json.chunk(text)));
  }

  @Override
  public void onFinished(EngineUsage usage) {
    byte[] last =
        json.lastChunk(usage.promptTokens(), usage.cachedTokens(), usage.completionTokens());
    exchange.write(event(usage.completionTokens(), last));
    exchange.write(Unpooled.wrappedBuffer(DONE));
    exchange.endStream();
  }

  @Override
  public void onBroken(String reason) {
    exchange.abort();
  }

  private static ByteBuf event(int id, byte[] data) {
    byte[] head = ("id: " + id + "\ndata: ").getBytes(StandardCharsets.US_ASCII);
    ByteBuf event = Unpooled.buffer(head.length + data.length + 2);
    return event.writeBytes(head).writeBytes(data).writeByte('\n').writeByte('\n');
  }
}
