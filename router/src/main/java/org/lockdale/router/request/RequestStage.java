package org.lockdale.router.request;

/** Stages of a request, logged with their times for diagnosis. */
public enum RequestStage {
  /** The complete request has arrived. */
  RECEIVED,
  /** The tenant is known. */
  AUTHENTICATED,
  /** A route matched. */
  ROUTED,
  /** The request is queued for capacity at an engine. */
  QUEUED,
  /** An engine is chosen. */
  PLACED,
  /** The claim is held. */
  CLAIMED,
  /** The request is sent to an engine. */
  DISPATCHED,
  /** An attempt ended without running, as when an engine rejects it. */
  REFUSED_BY_ENGINE,
  /** The first part of the response is sent to the caller. */
  FIRST_TOKEN,
  /** Resumption of a broken stream is requested from the engine. */
  RESUMED,
  /** The request has ended. */
  ENDED
}
