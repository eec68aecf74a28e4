package org.lockdale.router.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.lockdale.http.HttpCall;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.http.HttpResponseListener;
import org.lockdale.openai.HeaderNames;

/** Calls engines. */
public final class EngineClient {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(500);
  private static final String ATTEMPTS = "/v1/attempts/";
  private static final int OK = 200;

  private final HttpClient client;

  /** Creates a client. */
  public EngineClient(HttpClient client) {
    this.client = client;
  }

  /** Sends an attempt with its fence. */
  public HttpCall dispatch(
      EventLoop eventLoop,
      EngineView engine,
      AttemptMessage attempt,
      HttpResponseListener listener) {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("content-type", HttpReply.JSON)
            .set(HeaderNames.ATTEMPT_ID, attempt.attemptId())
            .set(HeaderNames.ENGINE_INCARNATION, engine.incarnation())
            .set(HeaderNames.WEIGHTS_VERSION, attempt.weightsVersion())
            .set(HeaderNames.CACHE_SALT, attempt.cacheSalt())
            .set(HeaderNames.TENANT, attempt.tenant())
            .set(HeaderNames.PRIORITY, attempt.priorityLevel());
    HttpRequestMessage request =
        new HttpRequestMessage(HttpMethod.POST, attempt.path(), headers, attempt.body());
    return client.send(eventLoop, engine.address(), request, listener);
  }

  /** Takes a stream up again after an event. */
  public HttpCall resume(
      EventLoop eventLoop,
      EngineView engine,
      AttemptMessage attempt,
      long lastEventId,
      HttpResponseListener listener) {
    HttpRequestMessage request =
        HttpRequestMessage.get(ATTEMPTS + attempt.attemptId() + "/stream")
            .with(HeaderNames.LAST_EVENT_ID, lastEventId)
            .with("x-model", attempt.modelName())
            .with("x-completion-kind", attempt.kindName());
    return client.send(eventLoop, engine.address(), request, listener);
  }

  /**
   * Cancels an attempt and leaves a tombstone where it did not start.
   *
   * @return what became of it; {@link AttemptFate#UNKNOWN} where the engine gave no answer or is
   *     not the incarnation that was meant
   */
  public CompletableFuture<AttemptFate> cancel(EngineView engine, String attemptId) {
    HttpRequestMessage request =
        HttpRequestMessage.json(HttpMethod.POST, ATTEMPTS + attemptId + "/cancel", new byte[0]);
    return fate(engine, request);
  }

  /** Asks for the fate of an attempt without changing it. */
  public CompletableFuture<AttemptFate> ask(EngineView engine, String attemptId) {
    return fate(engine, HttpRequestMessage.get(ATTEMPTS + attemptId));
  }

  private CompletableFuture<AttemptFate> fate(EngineView engine, HttpRequestMessage request) {
    return client
        .exchange(engine.address(), request, CONTROL_TIMEOUT)
        .handle(
            (reply, failure) -> {
              boolean answered = failure == null && reply.status() == OK;
              boolean sameLife =
                  answered
                      && engine
                          .incarnation()
                          .equals(reply.headers().get(HeaderNames.ENGINE_INCARNATION));
              // Another incarnation knows nothing of what its predecessor ran.
              return sameLife ? fateOf(reply) : AttemptFate.UNKNOWN;
            });
  }

  private static AttemptFate fateOf(HttpReply reply) {
    try {
      JsonNode fate = MAPPER.readTree(reply.body()).path("fate");
      return AttemptFate.parse(fate.asText());
    } catch (IOException malformed) {
      return AttemptFate.UNKNOWN;
    }
  }

  /** Reads an engine's load report. */
  public CompletableFuture<EngineReport> report(InetSocketAddress address) {
    return client
        .exchange(address, HttpRequestMessage.get("/v1/load"), CONTROL_TIMEOUT)
        .thenApply(
            reply -> {
              if (reply.status() != OK) {
                throw new IllegalStateException("the engine answered " + reply.status());
              }
              try {
                return MAPPER.readValue(reply.body(), EngineReport.class);
              } catch (IOException malformed) {
                throw new UncheckedIOException(malformed);
              }
            });
  }
}
