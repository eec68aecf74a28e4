package org.lockdale.gateway.request;

/** Reasons for which this node itself responds to a request with an error. */
public enum RefusalKind {
  /** The request cannot be parsed. */
  MALFORMED(400, false),
  /** The key belongs to no tenant. */
  UNKNOWN_KEY(401, false),
  /** No route has the host and path. */
  NO_ROUTE(404, false),
  /** No configuration was read yet, or the current one is too old to rely on. */
  NOT_CONFIGURED(503, true, true),
  /** The tenant exceeds its limit; the request was sent to no backend. */
  BEYOND_LIMIT(429, true),
  /** The request is quarantined: backends crashed each time it ran. */
  HELD_BACK(503, true),
  /** No backend accepts the request now, and none has started to run it. */
  UNAVAILABLE(503, true),
  /** This node can't connect to the backends, but other nodes may be able to. */
  UNREACHABLE(503, true, true),
  /** This node is stopping. */
  STOPPING(503, true, true),
  /** A backend failed and may have run the request. */
  BACKEND_FAILED(502, false),
  /** The request timed out, and a backend may have run it. */
  TIMED_OUT(504, false),
  /** An internal error occurred in this node. */
  INTERNAL(500, false);

  private final int status;
  private final boolean notRun;
  private final boolean servedElsewhere;

  RefusalKind(int status, boolean notRun) {
    this(status, notRun, false);
  }

  RefusalKind(int status, boolean notRun, boolean servedElsewhere) {
    this.status = status;
    this.notRun = notRun;
    this.servedElsewhere = servedElsewhere;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /** Returns whether the response guarantees that the request has not run and never will. */
  public boolean guaranteesNotRun() {
    return notRun;
  }

  /** Returns whether the reason lies with this node, so that another one may serve the request. */
  boolean mayBeServedElsewhere() {
    return servedElsewhere;
  }
}
