package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;

/** One check of a request before it is sent anywhere. */
interface RequestFilter {

  /** Completes the state of a request, or returns why it is refused. */
  @Nullable Refusal apply(RequestState state);
}
