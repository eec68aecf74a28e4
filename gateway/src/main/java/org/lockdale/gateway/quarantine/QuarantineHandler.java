package org.lockdale.gateway.quarantine;

import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.Executor;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.quarantine.part.HeldPart;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/**
 * Lists the quarantined and withheld requests, and the prompt parts that are held back, for
 * operators, and releases them on all nodes.
 */
public final class QuarantineHandler implements HttpHandler {

  /**
   * Path of the endpoint: {@code GET} lists what is quarantined, {@code DELETE} with a fingerprint
   * below it releases a request, and with the id of a prompt part below {@link #PARTS_PATH} that
   * part.
   */
  public static final String PATH = "/quarantine";

  private static final String PARTS_PATH = PATH + "/parts/";

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
      return isReleased(exchange.path())
          ? HttpReply.text(OK, "Released; all other nodes are notified at once.")
          : HttpReply.text(NOT_FOUND, "That is not quarantined; GET " + PATH + " lists what is.");
    }
    return HttpReply.text(
        WRONG_METHOD,
        "Send GET "
            + PATH
            + ", or DELETE "
            + PATH
            + "/ and a fingerprint, or DELETE "
            + PARTS_PATH
            + " and the id of a part.");
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
    for (HeldPart part : quarantine.parts().held()) {
      lines
          .append("part=")
          .append(part.part().id())
          .append(" model=")
          .append(part.part().model())
          .append(" backends=")
          .append(part.crashes())
          .append(" remaining-ms=")
          .append(part.untilMillis() - now)
          .append('\n');
    }
    return lines.toString();
  }

  private boolean isReleased(String path) {
    if (path.startsWith(PARTS_PATH)) {
      return quarantine.parts().release(path.substring(PARTS_PATH.length()));
    }
    return RequestFingerprint.parse(path.substring(PATH.length() + 1))
        .filter(quarantine::release)
        .isPresent();
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
