package org.lockdale.gateway.node;

import java.util.function.BooleanSupplier;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/**
 * Answers readiness checks. A node is ready once it knows its configuration and at least one
 * backend, while it can accept more connections, and until it stops.
 */
final class ReadinessHandler implements HttpHandler {

  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private final GatewayBlackboard blackboard;
  private final BooleanSupplier hasRoom;

  /**
   * Creates a handler.
   *
   * @param blackboard shared state of the node
   * @param hasRoom whether more connections of callers can be accepted
   */
  ReadinessHandler(GatewayBlackboard blackboard, BooleanSupplier hasRoom) {
    this.blackboard = blackboard;
    this.hasRoom = hasRoom;
  }

  @Override
  public void handle(HttpExchange exchange) {
    exchange.reply(
        HttpReply.text(isReady() ? READY : NOT_READY, isReady() ? "ready" : "not ready"));
  }

  private boolean isReady() {
    return hasRoom.getAsBoolean()
        && !blackboard.phase().value().isEnding()
        && blackboard.configuration().value().isKnown()
        && !blackboard.backends().value().all().isEmpty();
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
