package org.lockdale.router.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.TreeSet;
import java.util.UUID;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.openai.CompletionRequest;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.blackboard.NodePhase;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.request.RequestPath;

/** The HTTP interface of callers: dispatches requests by path and method. */
final class CallerApi implements HttpHandler {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String MODELS = "/v1/models";

  private final Blackboard blackboard;
  private final RequestPath requests;

  CallerApi(Blackboard blackboard, RequestPath requests) {
    this.blackboard = blackboard;
    this.requests = requests;
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange);
    } catch (RequestException rejected) {
      exchange.reply(rejected.toReply(UUID.randomUUID().toString()));
    }
  }

  private void route(HttpExchange exchange) {
    if (blackboard.phase().value() == NodePhase.STOPPING) {
      throw RequestException.of(ErrorKind.STOPPING, "The node is stopping.");
    }
    String path = exchange.path();
    if (path.equals(CompletionRequest.Kind.CHAT.path())) {
      requireMethod(exchange, "POST");
      requests.serve(exchange, CompletionRequest.Kind.CHAT);
    } else if (path.equals(CompletionRequest.Kind.TEXT.path())) {
      requireMethod(exchange, "POST");
      requests.serve(exchange, CompletionRequest.Kind.TEXT);
    } else if (path.equals(MODELS)) {
      requireMethod(exchange, "GET");
      exchange.reply(models());
    } else {
      throw RequestException.of(ErrorKind.UNKNOWN_PATH, "The path '" + path + "' does not exist.");
    }
  }

  private static void requireMethod(HttpExchange exchange, String method) {
    if (!exchange.method().equals(method)) {
      throw RequestException.of(
          ErrorKind.METHOD_NOT_ALLOWED, "The path accepts only " + method + " requests.");
    }
  }

  private HttpReply models() {
    ObjectNode root = MAPPER.createObjectNode().put("object", "list");
    ArrayNode data = root.putArray("data");
    for (String name : new TreeSet<>(blackboard.policies().value().models().keySet())) {
      data.addObject().put("id", name).put("object", "model").put("owned_by", "lockdale");
    }
    try {
      return HttpReply.json(200, MAPPER.writeValueAsBytes(root));
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return RequestException.builder(ErrorKind.PROTOCOL_ERROR, error.remedy())
        .status(error.status())
        .code(error.name().toLowerCase(Locale.ROOT))
        .build()
        .toReply(UUID.randomUUID().toString());
  }
}
