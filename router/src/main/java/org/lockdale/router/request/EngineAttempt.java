package org.lockdale.router.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.http.HttpCall;
import org.lockdale.http.HttpCallException;
import org.lockdale.http.HttpResponseListener;
import org.lockdale.http.ServerSentEventDecoder;
import org.lockdale.openai.HeaderNames;
import org.lockdale.router.engine.AttemptFate;
import org.lockdale.router.engine.AttemptMessage;
import org.lockdale.router.engine.EngineClient;
import org.lockdale.router.engine.EngineView;

/**
 * One attempt at one engine: checks that the response belongs to the attempt, relays a stream event
 * by event in the order of event ids, and resumes the stream if the connection breaks. Confined to
 * the event loop of the caller's connection.
 */
final class EngineAttempt {

  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Maximum number of consecutive resumptions of a stream without a new event. */
  private static final int MAX_RESUMES = 2;

  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private final RequestContext context;
  private final EngineClient engines;
  private final EngineView engine;
  private final AttemptMessage message;
  private final ResponseSink sink;
  private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
  private final long tokenTimeoutMillis;
  private long nextEventId;
  private int resumesWithoutProgress;

  /** The only response that may act on the attempt; null once the attempt ends. */
  private @Nullable Response response;

  EngineAttempt(
      RequestContext context,
      EngineClient engines,
      AttemptMessage message,
      ResponseSink sink,
      long tokenTimeoutMillis) {
    this.context = context;
    this.engines = engines;
    this.engine = context.placement.engine();
    this.message = message;
    this.sink = sink;
    this.tokenTimeoutMillis = tokenTimeoutMillis;
  }

  CompletableFuture<AttemptResult> start() {
    context.enter(RequestStage.DISPATCHED);
    Response first = new Response(false);
    response = first;
    first.start(engines.dispatch(context.exchange.eventLoop(), engine, message, first));
    return result;
  }

  /**
   * Cancels the attempt. Its result completes once the engine has reported the state of the attempt
   * or has failed to respond.
   */
  void cancel(String reason) {
    if (result.isDone()) {
      return;
    }
    leaveResponse();
    engines
        .cancel(engine, message.attemptId())
        .whenCompleteAsync(
            (fate, failure) -> finish(resultOfCancel(fate, reason)), context.exchange.eventLoop());
  }

  private static AttemptResult resultOfCancel(AttemptFate fate, String reason) {
    return fate == AttemptFate.NEVER_STARTED
        ? new AttemptResult.NotStarted(reason)
        : new AttemptResult.Cancelled(reason);
  }

  private void finish(AttemptResult attemptResult) {
    leaveResponse();
    result.complete(attemptResult);
  }

  /** Ends the current response, so that nothing that it started acts on the attempt any more. */
  private void leaveResponse() {
    Response former = response;
    response = null;
    if (former != null) {
      former.end();
    }
  }

  private static String extractErrorCode(String json) {
    int start = json.indexOf("\"code\":\"");
    if (start < 0) {
      return "";
    }
    int from = start + "\"code\":\"".length();
    int end = json.indexOf('"', from);
    return end < 0 ? "" : json.substring(from, end);
  }

  /** Resumes a broken stream at the same engine, or fails the attempt if it can't be resumed. */
  private void resumeOrFail(String reason) {
    boolean resumable = context.request.stream() && resumesWithoutProgress < MAX_RESUMES;
    if (!resumable) {
      failAttempt(reason);
      return;
    }
    resumesWithoutProgress++;
    leaveResponse();
    context.enter(RequestStage.RESUMED);
    Response resumed = new Response(true);
    response = resumed;
    resumed.start(
        engines.resume(context.exchange.eventLoop(), engine, message, nextEventId - 1, resumed));
  }

  /**
   * Cancels a failed attempt at the engine and ends it with a result that depends on whether the
   * engine reports that it ran.
   */
  private void failAttempt(String reason) {
    leaveResponse();
    engines
        .cancel(engine, message.attemptId())
        .whenCompleteAsync(
            (fate, failure) -> {
              if (sink.hasStarted()) {
                finish(new AttemptResult.Interrupted(reason));
              } else if (fate == AttemptFate.NEVER_STARTED) {
                finish(new AttemptResult.NotStarted(reason));
              } else {
                finish(new AttemptResult.Failed(reason));
              }
            },
            context.exchange.eventLoop());
  }

  /**
   * One response of the engine, with the call, decoder and timer that belong to it. It acts on the
   * attempt only while it is the current one.
   */
  private final class Response implements HttpResponseListener {

    /**
     * Whether this is a resumed stream. It is handled like the first response, except that a
     * rejected resumption does not show whether the attempt ran.
     */
    private final boolean resumed;

    private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(this::onEvent);
    private @Nullable HttpCall call;
    private @Nullable ScheduledFuture<?> silenceTimer;
    private int status;
    private boolean decoding;
    private boolean doneSeen;
    private long lastProgressNanos = System.nanoTime();
    private @Nullable ByteArrayOutputStream body;

    Response(boolean resumed) {
      this.resumed = resumed;
    }

    void start(HttpCall newCall) {
      call = newCall;
      if (isCurrent()) {
        watchProgress();
      } else {
        newCall.cancel();
      }
    }

    private boolean isCurrent() {
      return response == this;
    }

    /** Cancels the call and the timer. A decoder that is in use is closed after that. */
    void end() {
      if (call != null) {
        call.cancel();
      }
      if (silenceTimer != null) {
        silenceTimer.cancel(false);
      }
      if (!decoding) {
        decoder.close();
      }
    }

    /**
     * Detects an engine that stops sending in the middle of a stream without closing its
     * connection.
     */
    private void watchProgress() {
      silenceTimer =
          context
              .exchange
              .eventLoop()
              .schedule(this::checkProgress, tokenTimeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
      if (!isCurrent()) {
        return;
      }
      long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastProgressNanos);
      if (sink.hasStarted() && idleMillis >= tokenTimeoutMillis) {
        resumeOrFail("the engine sent nothing for " + idleMillis + " ms");
      } else {
        watchProgress();
      }
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders headers) {
      if (!isCurrent()) {
        return;
      }
      status = responseStatus;
      boolean matchesAttempt =
          message.attemptId().equals(headers.get(HeaderNames.ATTEMPT_ID))
              && engine.incarnation().equals(headers.get(HeaderNames.ENGINE_INCARNATION));
      if (status == OK && !matchesAttempt) {
        resumeOrFail("the engine's response belongs to another attempt or incarnation");
        return;
      }
      boolean isStream = headers.get("content-type", "").startsWith("text/event-stream");
      body = status == OK && isStream ? null : new ByteArrayOutputStream();
    }

    @Override
    public void onContent(ByteBuf content) {
      if (!isCurrent()) {
        return;
      }
      lastProgressNanos = System.nanoTime();
      if (body == null) {
        decode(content);
        sink.flush();
      } else if (body.size() + content.readableBytes() > MAX_RESPONSE_BYTES) {
        finish(new AttemptResult.Failed("the engine's response exceeds the size limit"));
      } else {
        byte[] part = new byte[content.readableBytes()];
        content.readBytes(part);
        body.writeBytes(part);
      }
    }

    private void decode(ByteBuf content) {
      decoding = true;
      try {
        decoder.decode(content);
      } finally {
        decoding = false;
        if (!isCurrent()) {
          decoder.close();
        }
      }
    }

    private void onEvent(long id, ByteBuf event) {
      if (doneSeen || !isCurrent()) {
        return;
      }
      if (id == ServerSentEventDecoder.NO_ID) {
        doneSeen = ServerSentEventDecoder.isDone(event);
        return;
      }
      if (id < nextEventId) {
        // A resumed stream may repeat events that were already relayed.
        return;
      }
      if (id > nextEventId) {
        resumeOrFail("an event of the engine's stream is missing");
        return;
      }
      nextEventId++;
      resumesWithoutProgress = 0;
      if (!sink.relayEvent(event)) {
        cancel("the caller reads too slowly");
      }
    }

    @Override
    public void onEnd() {
      if (!isCurrent()) {
        return;
      }
      if (resumed && status != OK) {
        failAttempt("the engine can't resume the stream");
      } else if (status >= SERVER_ERROR && status != SERVICE_UNAVAILABLE) {
        // Not a rejection: the engine may have failed after the attempt started.
        failAttempt("the engine returned status " + status);
      } else if (status != OK) {
        finishRejected();
      } else if (body != null) {
        sink.sendComplete(body.toByteArray());
        finish(new AttemptResult.Complete());
      } else if (doneSeen) {
        sink.endStream();
        finish(new AttemptResult.Complete());
      } else {
        resumeOrFail("the engine ended the stream without its end marker");
      }
    }

    private void finishRejected() {
      String json = body == null ? "" : body.toString(StandardCharsets.UTF_8);
      finish(
          new AttemptResult.NotStarted(
              "the engine returned status " + status + " " + extractErrorCode(json)));
    }

    @Override
    public void onFailure(HttpCallException failure) {
      if (!isCurrent()) {
        return;
      }
      if (resumed) {
        resumeOrFail("the stream could not be resumed: " + failure.getMessage());
      } else if (failure.stage() == HttpCallException.Stage.NOT_SENT) {
        finish(new AttemptResult.NotStarted("the engine is unreachable"));
      } else {
        resumeOrFail(failure.getMessage());
      }
    }
  }
}
