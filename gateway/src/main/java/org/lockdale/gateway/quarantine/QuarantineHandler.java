package org.lockdale.gateway.quarantine;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/** Lists the quarantined and withheld requests for operators, and releases them on all nodes. */
public final class QuarantineHandler implements HttpHandler {

  /**
   * Path of the endpoint: {@code GET} lists the quarantined requests, {@code DELETE} with a
   * fingerprint below it releases one.
   */
  public static final String PATH = "/quarantine";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int WRONG_METHOD = 405;

  private final Quarantine quarantine;
  private final Executor eventLoop;
  private final Time time;

  /**
   * Creates a handler.
   *
   * @param quarantine the quarantine
   * @param eventLoop runs the quarantine
   * @param time clock
   */
  public QuarantineHandler(Quarantine quarantine, Executor eventLoop, Time time) {
    this.quarantine = quarantine;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  @Override
  public void handle(HttpExchange exchange) {
    eventLoop.execute(() -> exchange.reply(createReply(exchange)));
  }

  private HttpReply createReply(HttpExchange exchange) {
    boolean lists = exchange.path().equals(PATH);
    if (lists && exchange.method().equals(HttpMethod.GET.name())) {
      return HttpReply.text(OK, list());
    }
    if (!lists && exchange.method().equals(HttpMethod.DELETE.name())) {
      return release(exchange.path().substring(PATH.length() + 1));
    }
    return HttpReply.text(
        WRONG_METHOD, "Send GET " + PATH + ", or DELETE " + PATH + "/ and a fingerprint.");
  }

  private String list() {
    long now = time.monotonicMillis();
    StringBuilder lines = new StringBuilder();
    for (QuarantinedRequest request : quarantine.quarantined()) {
      lines
          .append("fingerprint=")
          .append(request.fingerprint())
          .append(" backends=")
          .append(request.crashedBackends())
          .append(" unresolved=")
          .append(request.unresolvedBackends())
          .append(" remaining-ms=")
          .append(request.untilMillis() - now)
          .append('\n');
    }
    return lines.toString();
  }

  private HttpReply release(String text) {
    Optional<RequestFingerprint> fingerprint = RequestFingerprint.parse(text);
    boolean released = fingerprint.isPresent() && quarantine.release(fingerprint.get());
    return released
        ? HttpReply.text(OK, "Released; all other nodes are notified at once.")
        : HttpReply.text(NOT_FOUND, "No such request is quarantined; GET " + PATH + " lists them.");
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
