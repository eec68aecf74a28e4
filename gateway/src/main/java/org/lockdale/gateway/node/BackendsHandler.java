package org.lockdale.gateway.node;

import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/** Lists the backends that this node uses, as text with one line for each, for operators. */
final class BackendsHandler implements HttpHandler {

  static final String PATH = "/backends";

  private static final int OK = 200;

  private final Section<BackendTable> backends;
  private final BackendRates rates;
  private final Time time;

  BackendsHandler(Section<BackendTable> backends, BackendRates rates, Time time) {
    this.backends = backends;
    this.rates = rates;
    this.time = time;
  }

  @Override
  public void handle(HttpExchange exchange) {
    StringBuilder lines = new StringBuilder();
    for (TrackedBackend tracked : backends.value().all()) {
      Backend backend = tracked.backend();
      lines
          .append("backend=")
          .append(backend.id())
          .append(" pool=")
          .append(backend.pool())
          .append(" address=")
          .append(backend.address())
          .append(" software-version=")
          .append(backend.softwareVersion())
          .append(" leaving=")
          .append(backend.draining())
          .append(" says-it-leaves=")
          .append(tracked.hasAnnouncedDraining())
          .append(" rest-ms=")
          .append(tracked.backoff().remainingMillis(time.monotonicMillis()))
          .append(" over=")
          .append(tracked.hasEnded())
          .append(" open-requests=")
          .append(tracked.load().openRequests())
          .append(" rate=")
          .append(rateOf(backend.id()))
          .append('\n');
    }
    exchange.reply(HttpReply.text(OK, lines.toString()));
  }

  private String rateOf(String backend) {
    return rates
        .advertisedRate(backend)
        .map(rate -> Double.toString(rate.perSecond()))
        .orElse("none");
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
