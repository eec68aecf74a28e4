package org.lockdale.router.node;

import org.jspecify.annotations.Nullable;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/**
 * Answers operators while the node is still being assembled: the port must be bound before peers
 * can be told of it.
 */
final class StartedOperators implements HttpHandler {

  private volatile @Nullable HttpHandler handler;

  void start(HttpHandler started) {
    handler = started;
  }

  @Override
  public void handle(HttpExchange exchange) {
    HttpHandler started = handler;
    if (started == null) {
      exchange.reply(HttpReply.text(503, "starting\n"));
    } else {
      started.handle(exchange);
    }
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
