package org.lockdale.gateway.request;

import java.util.function.Consumer;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/** Handles requests with a script. */
record ScriptHandler(Consumer<HttpExchange> script) implements HttpHandler {

  @Override
  public void handle(HttpExchange exchange) {
    script.accept(exchange);
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.empty(error.status());
  }
}
