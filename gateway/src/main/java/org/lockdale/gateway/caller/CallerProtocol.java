package org.lockdale.gateway.caller;

import org.lockdale.gateway.request.Refusal;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpReply;

/** Protocol of callers, as the gateway uses it. Implemented by the platform. */
public interface CallerProtocol {

  /**
   * Reads a request.
   *
   * @throws MalformedRequestException if a required header is missing or cannot be parsed
   */
  CallerRequest read(HttpExchange exchange);

  /** Renders a refusal. */
  HttpReply render(Refusal refusal);
}
