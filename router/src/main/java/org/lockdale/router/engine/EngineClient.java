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

/** Client of the HTTP interface of engines. */
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

  /**
   * Sends an attempt. Its headers name the incarnation and the weights version that it is meant
   * for, so that another incarnation or an engine with other weights rejects it.
   */
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

  /** Resumes a stream after the event {@code lastEventId}, or from its start if that is -1. */
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
   * Cancels an attempt. If it has not started, the engine keeps a tombstone so that it never will.
   *
   * @return its state; {@link AttemptFate#UNKNOWN} if the engine did not respond or is another
   *     incarnation than the view's
   */
  public CompletableFuture<AttemptFate> cancel(EngineView engine, String attemptId) {
    HttpRequestMessage request =
        HttpRequestMessage.json(HttpMethod.POST, ATTEMPTS + attemptId + "/cancel", new byte[0]);
    return requestFate(engine, request);
  }

  /** Queries the state of an attempt without changing it; see {@link #cancel} for the result. */
  public CompletableFuture<AttemptFate> queryFate(EngineView engine, String attemptId) {
    return requestFate(engine, HttpRequestMessage.get(ATTEMPTS + attemptId));
  }

  private CompletableFuture<AttemptFate> requestFate(
      EngineView engine, HttpRequestMessage request) {
    return client
        .exchange(engine.address(), request, CONTROL_TIMEOUT)
        .handle(
            (reply, failure) -> {
              boolean responded = failure == null && reply.status() == OK;
              boolean sameIncarnation =
                  responded
                      && engine
                          .incarnation()
                          .equals(reply.headers().get(HeaderNames.ENGINE_INCARNATION));
              // Another incarnation has no information about attempts of its predecessor.
              return sameIncarnation ? parseFate(reply) : AttemptFate.UNKNOWN;
            });
  }

  private static AttemptFate parseFate(HttpReply reply) {
    try {
      JsonNode fate = MAPPER.readTree(reply.body()).path("fate");
      return AttemptFate.parse(fate.asText());
    } catch (IOException malformed) {
      return AttemptFate.UNKNOWN;
    }
  }

  /** Reads an engine's load report; fails if there is no valid response. */
  public CompletableFuture<EngineReport> report(InetSocketAddress address) {
    return client
        .exchange(address, HttpRequestMessage.get("/v1/load"), CONTROL_TIMEOUT)
        .thenApply(
            reply -> {
              if (reply.status() != OK) {
                throw new IllegalStateException(
                    "the engine responded with status " + reply.status());
              }
              try {
                return MAPPER.readValue(reply.body(), EngineReport.class);
              } catch (IOException malformed) {
                throw new UncheckedIOException(malformed);
              }
            });
  }
}
