package org.lockdale.gateway.configuration;

/** Form of the responses of a route, and whether its requests may run more than once. */
public enum RouteKind {
  /** A complete response; the request may run more than once. */
  IDEMPOTENT,
  /** A complete response; the request runs at most once. */
  NON_IDEMPOTENT,
  /**
   * A stream of server-sent events; the request may run more than once if the route is resumable.
   */
  STREAM
}
