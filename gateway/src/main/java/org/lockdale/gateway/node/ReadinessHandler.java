package org.lockdale.gateway.node;

import java.util.function.BooleanSupplier;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/**
 * Tells whether new connections should come here: once configuration and back ends are known, while
 * there is room for more connections, and until the node stops.
 */
final class ReadinessHandler implements HttpHandler {

  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private final GatewayBlackboard blackboard;
  private final BooleanSupplier hasRoom;

  /**
   * Creates a handler.
   *
   * @param blackboard what the node believes
   * @param hasRoom whether new connections of callers are served
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
