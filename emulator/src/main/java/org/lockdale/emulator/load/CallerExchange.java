package org.lockdale.emulator.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.placement.PromptText;
import org.lockdale.emulator.engine.ResponseText;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.history.HistoryEvent.CallEnd;
import org.lockdale.emulator.history.HistoryRecorder;
import org.lockdale.http.HttpCallException;
import org.lockdale.http.HttpResponseListener;
import org.lockdale.http.ServerSentEventDecoder;
import org.lockdale.openai.HeaderNames;

/** A call of the load generator: reads the response and records its outcome in the history. */
final class CallerExchange implements HttpResponseListener {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final PlannedRequest request;
  private final long number;
  private final HistoryRecorder history;
  private final long startedAtMicros;
  private final CompletableFuture<HistoryEvent.Call> done = new CompletableFuture<>();
  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(this::onEvent);
  private final StringBuilder responseText = new StringBuilder();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private boolean isStream;
  private boolean doneSeen;
  private long firstTokenMicros = -1;
  private String requestId = "";
  private String errorCode = "";
  private String outcome = "";

  CallerExchange(PlannedRequest request, long number, HistoryRecorder history) {
    this.request = request;
    this.number = number;
    this.history = history;
    this.startedAtMicros = history.nowMicros();
  }

  /** Returns a future that completes with the recorded call when the call has ended. */
  CompletableFuture<HistoryEvent.Call> done() {
    return done;
  }

  /** Returns the digest of the prompt that a node builds from the messages of a request. */
  static long digestOf(PlannedRequest request) {
    PromptText prompt =
        new PromptText()
            .message("system", request.systemPrompt())
            .message("user", request.userPrompt());
    return ResponseText.digest(prompt.toBytes());
  }

  @Override
  public void onHead(int responseStatus, HttpHeaders headers) {
    status = responseStatus;
    requestId = headers.get(HeaderNames.REQUEST_ID, "");
    isStream = headers.get("content-type", "").startsWith("text/event-stream");
  }

  @Override
  public void onContent(ByteBuf content) {
    if (firstTokenMicros < 0 && status == OK) {
      firstTokenMicros = history.nowMicros() - startedAtMicros;
    }
    if (isStream) {
      decoder.decode(content);
    } else {
      byte[] part = new byte[content.readableBytes()];
      content.readBytes(part);
      body.writeBytes(part);
    }
  }

  private void onEvent(long id, ByteBuf event) {
    if (ServerSentEventDecoder.isDone(event)) {
      doneSeen = true;
      return;
    }
    JsonNode data = parse(ServerSentEventDecoder.dataOf(event).getBytes(StandardCharsets.UTF_8));
    if (data.has("error")) {
      readError(data);
    } else {
      responseText.append(data.path("choices").path(0).path("delta").path("content").asText(""));
    }
  }

  private void readError(JsonNode data) {
    errorCode = data.path("error").path("code").asText();
    outcome = data.path("error").path("outcome").asText();
  }

  private static JsonNode parse(byte[] json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException malformed) {
      return MAPPER.createObjectNode();
    }
  }

  @Override
  public void onEnd() {
    if (isStream) {
      finish(doneSeen ? CallEnd.COMPLETE : CallEnd.BROKEN);
      return;
    }
    JsonNode data = parse(body.toByteArray());
    if (status == OK) {
      responseText.append(data.path("choices").path(0).path("message").path("content").asText(""));
      finish(CallEnd.COMPLETE);
      return;
    }
    readError(data);
    finish(outcome.equals("not_run") ? CallEnd.NOT_RUN : CallEnd.UNKNOWN);
  }

  @Override
  public void onFailure(HttpCallException failure) {
    if (failure.stage() == HttpCallException.Stage.NOT_SENT) {
      errorCode = "connection_refused";
      finish(CallEnd.NOT_RUN);
    } else if (doneSeen) {
      finish(CallEnd.COMPLETE);
    } else {
      errorCode = errorCode.isEmpty() ? "connection_broken" : errorCode;
      finish(isStream ? CallEnd.BROKEN : CallEnd.UNKNOWN);
    }
  }

  private void finish(CallEnd end) {
    decoder.close();
    HistoryEvent.Call call =
        new HistoryEvent.Call(
            number,
            requestId,
            request.tenant(),
            request.service(),
            digestOf(request),
            request.maxTokens(),
            request.idempotencyKey() == null ? "" : request.idempotencyKey(),
            end,
            errorCode,
            responseText.toString(),
            startedAtMicros,
            firstTokenMicros,
            history.nowMicros());
    history.add(call);
    done.complete(call);
  }
}
