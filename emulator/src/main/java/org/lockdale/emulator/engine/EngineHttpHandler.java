package org.lockdale.emulator.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.UUID;
import org.lockdale.coordination.placement.CacheScope;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.openai.CompletionJson;
import org.lockdale.openai.CompletionRequest;
import org.lockdale.openai.ErrorBody;
import org.lockdale.openai.HeaderNames;
import org.lockdale.openai.InvalidRequestException;

/** The HTTP interface of an emulated engine; handles every request on the engine's event loop. */
final class EngineHttpHandler implements HttpHandler {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ATTEMPTS = "/v1/attempts/";
  private static final String CANCEL = "/cancel";
  private static final String STREAM = "/stream";
  private static final int BYTES_PER_TOKEN = 4;
  private static final int HEX = 16;

  private final EngineServer engine;

  EngineHttpHandler(EngineServer engine) {
    this.engine = engine;
  }

  @Override
  public void handle(HttpExchange exchange) {
    engine.eventLoop().execute(() -> route(exchange));
  }

  private void route(HttpExchange exchange) {
    try {
      String path = exchange.path();
      if (path.equals(CompletionRequest.Kind.CHAT.path())) {
        handleCompletion(exchange, CompletionRequest.Kind.CHAT);
      } else if (path.equals(CompletionRequest.Kind.TEXT.path())) {
        handleCompletion(exchange, CompletionRequest.Kind.TEXT);
      } else if (path.startsWith(ATTEMPTS)) {
        routeAttempt(exchange, path.substring(ATTEMPTS.length()));
      } else {
        routeOperations(exchange, path);
      }
    } catch (InvalidRequestException invalid) {
      exchange.reply(error(400, invalid.code(), invalid.getMessage()));
    } catch (IOException | RuntimeException malformed) {
      exchange.reply(error(400, "invalid_request", String.valueOf(malformed.getMessage())));
    }
  }

  private void routeOperations(HttpExchange exchange, String path) throws IOException {
    switch (path) {
      case "/v1/load" -> exchange.reply(json(engine.model().loadReport()));
      case "/v1/cache/events" -> {
        long after = Long.parseLong(exchange.uri().substring(path.length() + "?after=".length()));
        exchange.reply(json(engine.model().cacheEventsAfter(after)));
      }
      case "/v1/orders" -> handleOrder(exchange);
      case "/faults/freeze" -> {
        engine.freeze();
        exchange.reply(HttpReply.empty(204));
      }
      case "/faults/thaw" -> {
        engine.thaw();
        exchange.reply(HttpReply.empty(204));
      }
      case "/faults/crash" -> {
        engine.crash();
        exchange.reply(HttpReply.empty(204));
      }
      default -> {
        if (path.startsWith("/v1/kv/")) {
          transferBlock(exchange, Long.parseUnsignedLong(path.substring("/v1/kv/".length()), HEX));
        } else {
          exchange.reply(error(404, "unknown_path", "The path " + path + " does not exist."));
        }
      }
    }
  }

  private void handleOrder(HttpExchange exchange) throws IOException {
    EngineOrder order = MAPPER.readValue(exchange.body(), EngineOrder.class);
    boolean executed = engine.model().execute(order);
    exchange.reply(
        executed
            ? HttpReply.empty(204)
            : error(
                409, "stale_fencing_token", "An order with a newer fencing token was received."));
  }

  private void transferBlock(HttpExchange exchange, long hash) {
    if (exchange.method().equals("PUT")) {
      engine.model().importBlock(hash, new String(exchange.body(), StandardCharsets.UTF_8));
      exchange.reply(HttpReply.empty(204));
      return;
    }
    String owner = engine.model().exportBlock(hash);
    exchange.reply(
        owner == null
            ? error(404, "no_such_block", "The block is not cached.")
            : HttpReply.text(200, owner));
  }

  private void handleCompletion(HttpExchange exchange, CompletionRequest.Kind kind) {
    CompletionRequest body = CompletionRequest.parse(kind, exchange.body());
    EngineRequest request = requestOf(exchange, body);
    CompletionJson json = new CompletionJson(kind, "cmpl-" + request.attemptId(), body.model());
    String incarnation = engine.model().incarnation();
    ResponseOutput output =
        body.stream()
            ? new EventStreamResponse(exchange, json, request.attemptId(), incarnation)
            : new JsonResponse(exchange, json, request.attemptId(), incarnation);
    SubmitResult result = engine.model().submit(request, output);
    if (result != SubmitResult.ACCEPTED) {
      HttpReply rejection =
          error(result.status(), result.code(), "The engine rejected the attempt; it did not run.");
      exchange.reply(rejection.with(HeaderNames.ENGINE_INCARNATION, incarnation));
      return;
    }
    output.start();
    engine.wake();
  }

  private EngineRequest requestOf(HttpExchange exchange, CompletionRequest body) {
    String weights = header(exchange, HeaderNames.WEIGHTS_VERSION, "");
    String tenant = header(exchange, HeaderNames.TENANT, "");
    String loaded = Objects.requireNonNullElse(engine.model().weightsVersion(modelOf(body)), "");
    String salt = header(exchange, HeaderNames.CACHE_SALT, "");
    CacheScope scope = new CacheScope(salt, "", "", "");
    String attempt = header(exchange, HeaderNames.ATTEMPT_ID, UUID.randomUUID().toString());
    int promptTokens = Math.max(1, (body.prompt().length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
    return new EngineRequest(
        attempt,
        header(exchange, HeaderNames.ENGINE_INCARNATION, ""),
        modelOf(body),
        weights,
        tenant + "|" + body.model() + "|" + loaded,
        PrefixChain.of(scope, body.prompt()),
        ResponseText.digest(body.prompt()),
        promptTokens,
        body.maxTokens(),
        Integer.parseInt(header(exchange, HeaderNames.PRIORITY, "0")));
  }

  /** Returns the model name without the adapter of {@code model:adapter}. */
  private static String modelOf(CompletionRequest body) {
    int colon = body.model().indexOf(':');
    return colon < 0 ? body.model() : body.model().substring(0, colon);
  }

  private static String header(HttpExchange exchange, String name, String fallback) {
    return Objects.requireNonNullElse(exchange.header(name), fallback);
  }

  private void routeAttempt(HttpExchange exchange, String rest) {
    if (rest.endsWith(CANCEL)) {
      String attemptId = rest.substring(0, rest.length() - CANCEL.length());
      replyFate(exchange, engine.model().cancel(attemptId));
    } else if (rest.endsWith(STREAM)) {
      resume(exchange, rest.substring(0, rest.length() - STREAM.length()));
    } else {
      replyFate(exchange, engine.model().fateOf(rest));
    }
  }

  private void replyFate(HttpExchange exchange, AttemptFate fate) {
    ObjectNode body = MAPPER.createObjectNode().put("fate", fate.name());
    exchange.reply(json(body).with(HeaderNames.ENGINE_INCARNATION, engine.model().incarnation()));
  }

  private void resume(HttpExchange exchange, String attemptId) {
    String last = header(exchange, HeaderNames.LAST_EVENT_ID, "-1");
    String model = header(exchange, "x-model", "");
    CompletionRequest.Kind kind =
        header(exchange, "x-completion-kind", "CHAT").equals("CHAT")
            ? CompletionRequest.Kind.CHAT
            : CompletionRequest.Kind.TEXT;
    String incarnation = engine.model().incarnation();
    EventStreamResponse output =
        new EventStreamResponse(
            exchange, new CompletionJson(kind, "cmpl-" + attemptId, model), attemptId, incarnation);
    if (engine.model().fateOf(attemptId) == AttemptFate.NEVER_STARTED) {
      exchange.reply(error(404, "unknown_attempt", "The attempt is unknown."));
      return;
    }
    output.start();
    if (!engine.model().resume(attemptId, Integer.parseInt(last) + 1, output)) {
      exchange.abort();
    }
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return error(error.status(), error.name(), error.remedy());
  }

  static HttpReply error(int status, String code, String message) {
    ErrorBody.Detail detail = new ErrorBody.Detail(message, "engine_error", "", code, "not_run", 0);
    return HttpReply.json(status, new ErrorBody(detail).toJson());
  }

  private static HttpReply json(Object value) {
    try {
      return HttpReply.json(200, MAPPER.writeValueAsBytes(value));
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
