package org.lockdale.gateway.caller;

import org.lockdale.gateway.request.Refusal;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpReply;

/** Port of the protocol that callers speak. */
public interface CallerProtocol {

  /**
   * Reads a request.
   *
   * @throws MalformedRequestException if a header that must be there is missing or can't be read
   */
  CallerRequest read(HttpExchange exchange);

  /** Renders a refusal. */
  HttpReply render(Refusal refusal);
}
