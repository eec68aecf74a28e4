package org.lockdale.router.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Locale;
import java.util.Map;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.configuration.ConfigurationConflictException;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.configuration.ResourceKey;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.openai.ErrorBody;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.blackboard.NodePhase;
import org.lockdale.router.controller.EngineController;

/** The HTTP interface of operators. */
public final class OperatorApi implements HttpHandler {

  /** Path of the status of one node. */
  public static final String STATUS = "/v1/status";

  /** Path of the status of all nodes. */
  public static final String CLUSTER_STATUS = "/v1/cluster-status";

  /** Path of the configuration. */
  public static final String CONFIGURATION = "/v1/configuration";

  /** Path of explanations of routing. */
  public static final String EXPLAIN = "/v1/explain";

  private static final String NO_TOKEN = "none";
  private static final String BEARER = "Bearer ";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Blackboard blackboard;
  private final PrometheusMeterRegistry metrics;
  private final StatusReporter status;
  private final ConfigurationEditor editor;
  private final Explainer explainer;
  private final EngineController engines;
  private final String token;

  /** Creates the interface of a node; edits must carry the token unless it is {@code none}. */
  public OperatorApi(
      Blackboard blackboard,
      PrometheusMeterRegistry metrics,
      StatusReporter status,
      ConfigurationEditor editor,
      Explainer explainer,
      EngineController engines,
      String token) {
    this.blackboard = blackboard;
    this.metrics = metrics;
    this.status = status;
    this.editor = editor;
    this.explainer = explainer;
    this.engines = engines;
    this.token = token;
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange);
    } catch (EditRejectedException rejected) {
      exchange.reply(error(rejected.status(), rejected.code(), rejected.getMessage()));
    } catch (IOException malformed) {
      exchange.reply(
          error(
              400,
              "invalid_request",
              "The request body can't be parsed: " + malformed.getMessage()));
    }
  }

  private void route(HttpExchange exchange) throws IOException {
    switch (exchange.path()) {
      case "/health/live" -> exchange.reply(HttpReply.text(200, "live\n"));
      case "/health/ready" -> exchange.reply(readiness());
      case "/metrics" ->
          exchange.reply(
              HttpReply.of(
                  200,
                  "text/plain; version=0.0.4; charset=utf-8",
                  metrics.scrape().getBytes(StandardCharsets.UTF_8)));
      case STATUS -> exchange.reply(json(200, status.ofNode()));
      case CLUSTER_STATUS ->
          status.ofCluster().thenAccept(cluster -> exchange.reply(json(200, cluster)));
      case EngineController.MACHINES_PATH -> exchange.reply(json(200, engines.machines()));
      case EXPLAIN ->
          exchange.reply(
              json(
                  200, explainer.explain(MAPPER.readValue(exchange.body(), ExplainRequest.class))));
      case CONFIGURATION -> configuration(exchange);
      default ->
          exchange.reply(
              error(
                  404, "unknown_path", "The operator API has no path '" + exchange.path() + "'."));
    }
  }

  private HttpReply readiness() {
    NodePhase phase = blackboard.phase().value();
    boolean ready = phase == NodePhase.SERVING;
    return HttpReply.text(ready ? 200 : 503, phase.name().toLowerCase(Locale.ROOT) + "\n");
  }

  private void configuration(HttpExchange exchange) throws IOException {
    if (exchange.method().equals("GET")) {
      exchange.reply(json(200, renderConfiguration()));
      return;
    }
    if (!isAuthorized(exchange)) {
      exchange.reply(
          error(
              401,
              "invalid_token",
              "Send 'Authorization: Bearer TOKEN' with this node's operators.token."));
      return;
    }
    EditRequest request = MAPPER.readValue(exchange.body(), EditRequest.class);
    editor
        .edit(request)
        .whenComplete(
            (version, failure) ->
                exchange.reply(
                    failure == null
                        ? json(200, Map.of("version", version))
                        : editFailure(failure)));
  }

  private boolean isAuthorized(HttpExchange exchange) {
    if (token.equals(NO_TOKEN)) {
      return true;
    }
    String given = exchange.header("authorization");
    return given != null
        && MessageDigest.isEqual(
            given.getBytes(StandardCharsets.UTF_8),
            (BEARER + token).getBytes(StandardCharsets.UTF_8));
  }

  private ObjectNode renderConfiguration() throws IOException {
    ConfigurationState state = blackboard.configuration().value();
    ObjectNode root = MAPPER.createObjectNode().put("version", state.version());
    ArrayNode resources = root.putArray("resources");
    for (Map.Entry<ResourceKey, byte[]> entry : state.resources().entrySet()) {
      resources.add(MAPPER.readTree(entry.getValue()));
    }
    return root;
  }

  private static HttpReply editFailure(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    if (cause instanceof ConfigurationConflictException conflict) {
      return error(409, "version_conflict", conflict.getMessage());
    }
    return error(
            503,
            "platform_unavailable",
            "The platform did not confirm the edit ("
                + cause.getMessage()
                + "); get the configuration to see whether the edit was accepted.")
        .with("retry-after", "2");
  }

  private static HttpReply error(int status, String code, String message) {
    ErrorBody.Detail detail = new ErrorBody.Detail(message, "operator_error", "", code, "", 0);
    return HttpReply.json(status, new ErrorBody(detail).toJson());
  }

  private static HttpReply json(int status, Object value) {
    try {
      return HttpReply.json(status, MAPPER.writeValueAsBytes(value));
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return error(error.status(), error.name().toLowerCase(Locale.ROOT), error.remedy());
  }
}
