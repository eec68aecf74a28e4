package org.lockdale.gateway.cluster;

import java.util.concurrent.Executor;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;

/**
 * Tells other nodes whether an attempt of a suspect that this process recorded is in progress: 200
 * if it is, 404 otherwise.
 */
public final class SuspectAttemptHandler implements HttpHandler {

  /** Path on the address for other nodes, followed by the id of an attempt. */
  public static final String PATH = SuspectListHandler.PATH + "/attempts/";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final Quarantine quarantine;
  private final Executor eventLoop;

  /**
   * Creates a handler.
   *
   * @param quarantine has the attempts of this process
   * @param eventLoop runs the quarantine
   */
  public SuspectAttemptHandler(Quarantine quarantine, Executor eventLoop) {
    this.quarantine = quarantine;
    this.eventLoop = eventLoop;
  }

  @Override
  public void handle(HttpExchange exchange) {
    String id = exchange.path().substring(PATH.length());
    eventLoop.execute(
        () ->
            exchange.reply(
                quarantine.isAttemptInProgress(id)
                    ? HttpReply.text(OK, "The attempt is in progress.")
                    : HttpReply.text(NOT_FOUND, "No such attempt is in progress.")));
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy());
  }
}
