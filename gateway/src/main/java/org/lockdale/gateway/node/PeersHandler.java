package org.lockdale.gateway.node;

import org.lockdale.gateway.cluster.SuspectAttemptHandler;
import org.lockdale.gateway.cluster.SuspectListHandler;
import org.lockdale.gateway.cluster.TableSliceHandler;
import org.lockdale.gateway.quarantine.QuarantineHandler;
import org.lockdale.gateway.request.RequestPath;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/** Routes HTTP requests on the peers' address to the handler of their path. */
final class PeersHandler implements HttpHandler {

  private final RequestPath requests;
  private final TableSliceHandler tables;
  private final QuarantineHandler quarantine;
  private final SuspectListHandler suspects;
  private final SuspectAttemptHandler attempts;
  private final BackendsHandler backends;
  private final MetricsHandler metrics;

  PeersHandler(
      RequestPath requests,
      TableSliceHandler tables,
      QuarantineHandler quarantine,
      SuspectListHandler suspects,
      SuspectAttemptHandler attempts,
      BackendsHandler backends,
      MetricsHandler metrics) {
    this.requests = requests;
    this.tables = tables;
    this.quarantine = quarantine;
    this.suspects = suspects;
    this.attempts = attempts;
    this.backends = backends;
    this.metrics = metrics;
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (RequestPath.isForwarded(exchange)) {
      requests.handleForwarded(exchange);
    } else {
      handlerOf(exchange.path()).handle(exchange);
    }
  }

  private HttpHandler handlerOf(String path) {
    if (path.equals(BackendsHandler.PATH)) {
      return backends;
    }
    if (path.equals(MetricsHandler.PATH)) {
      return metrics;
    }
    if (path.equals(SuspectListHandler.PATH)) {
      return suspects;
    }
    if (path.startsWith(SuspectAttemptHandler.PATH)) {
      return attempts;
    }
    boolean quarantined =
        path.equals(QuarantineHandler.PATH) || path.startsWith(QuarantineHandler.PATH + "/");
    return quarantined ? quarantine : tables;
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return tables.renderProtocolError(error);
  }
}
