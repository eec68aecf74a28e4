package org.lockdale.router.request;

/** States a request goes through, noted with their time for diagnosis. */
public enum RequestStage {
  /** The whole request has arrived. */
  RECEIVED,
  /** The tenant is known. */
  AUTHENTICATED,
  /** A route matched. */
  ROUTED,
  /** It waits for room at an engine. */
  QUEUED,
  /** An engine is chosen. */
  PLACED,
  /** The claim is held. */
  CLAIMED,
  /** It was sent to an engine. */
  DISPATCHED,
  /** An engine refused it without running it. */
  REFUSED_BY_ENGINE,
  /** The first byte of the answer came. */
  FIRST_TOKEN,
  /** A broken stream was taken up again. */
  RESUMED,
  /** It has ended. */
  ENDED
}
