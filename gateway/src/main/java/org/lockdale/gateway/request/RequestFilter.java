package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;

/** A check of a request before it is sent to any backend. */
interface RequestFilter {

  /**
   * Applies the check. It may add to the state of the request.
   *
   * @return the refusal, or null if the request may proceed
   */
  @Nullable Refusal apply(RequestState state);
}
