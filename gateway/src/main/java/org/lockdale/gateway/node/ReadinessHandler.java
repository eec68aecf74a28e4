package org.lockdale.gateway.node;

import java.util.function.BooleanSupplier;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/**
 * Responds to readiness checks. A node is ready while it knows its configuration and at least one
 * backend, can accept more connections, and is not stopping.
 */
final class ReadinessHandler implements HttpHandler {

  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private final GatewayBlackboard blackboard;
  private final BooleanSupplier hasSpareConnections;

  /**
   * Creates a handler.
   *
   * @param blackboard shared state of the node
   * @param hasSpareConnections whether more connections of callers can be accepted
   */
  ReadinessHandler(GatewayBlackboard blackboard, BooleanSupplier hasSpareConnections) {
    this.blackboard = blackboard;
    this.hasSpareConnections = hasSpareConnections;
  }

  @Override
  public void handle(HttpExchange exchange) {
    exchange.reply(
        HttpReply.text(isReady() ? READY : NOT_READY, isReady() ? "ready" : "not ready"));
  }

  private boolean isReady() {
    return hasSpareConnections.getAsBoolean()
        && !blackboard.phase().value().isEnding()
        && blackboard.configuration().value().isKnown()
        && !blackboard.backends().value().all().isEmpty();
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
