package org.lockdale.router.node;

import org.jspecify.annotations.Nullable;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/**
 * Responds to operators with 503 until the handler is set. The operators' port must be bound before
 * the node is assembled, because its number is announced to peers.
 */
final class DeferredOperatorHandler implements HttpHandler {

  private volatile @Nullable HttpHandler delegate;

  void setDelegate(HttpHandler handler) {
    delegate = handler;
  }

  @Override
  public void handle(HttpExchange exchange) {
    HttpHandler handler = delegate;
    if (handler == null) {
      exchange.reply(HttpReply.text(503, "starting\n"));
    } else {
      handler.handle(exchange);
    }
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
