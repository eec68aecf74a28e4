package org.lockdale.router.request;

import java.util.concurrent.CompletableFuture;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;

/** Determines the tenant from the API key, the only source of a request's tenant. */
final class AuthenticationStep implements RequestStep {

  private static final String BEARER = "Bearer ";

  @Override
  public CompletableFuture<Next> apply(RequestContext context) {
    if (context.policies.version() == 0) {
      throw RequestException.of(ErrorKind.NOT_READY, "The node has received no configuration yet.");
    }
    String authorization = context.exchange.header("authorization");
    if (authorization == null || !authorization.startsWith(BEARER)) {
      throw RequestException.of(ErrorKind.MISSING_API_KEY, "The request has no API key.");
    }
    String apiKey = authorization.substring(BEARER.length()).trim();
    context.tenant =
        context
            .policies
            .tenantOfKey(apiKey)
            .orElseThrow(
                () ->
                    RequestException.of(
                        ErrorKind.INVALID_API_KEY, "The API key belongs to no tenant."));
    context.enter(RequestStage.AUTHENTICATED);
    return CONTINUE;
  }
}
