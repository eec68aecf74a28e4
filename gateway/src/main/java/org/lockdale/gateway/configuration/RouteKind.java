package org.lockdale.gateway.configuration;

/** How the requests of a route may be treated. */
public enum RouteKind {
  /** A whole answer; the request may run more than once. */
  IDEMPOTENT,
  /** A whole answer; the request runs at most once. */
  NON_IDEMPOTENT,
  /** An answer of server-sent events. */
  STREAM
}
