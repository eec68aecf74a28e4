package org.lockdale.gateway.placement;

import java.util.Optional;

/** Outcome of a placement: the chosen backend, or why there is none. */
public sealed interface PlacementResult {

  /** No backend that could serve the request has room for it now. */
  PlacementResult NO_ROOM = new NoRoom();

  /** No backend is left that could serve the request. */
  PlacementResult NO_CANDIDATE = new NoCandidate();

  /**
   * A backend was chosen.
   *
   * @param placement the chosen backend and how it is to be used
   */
  record Placed(Placement placement) implements PlacementResult {}

  /** No backend is left that could serve the request. */
  record NoCandidate() implements PlacementResult {}

  /**
   * The backends that could serve the request accept none now: each has reached its advertised rate
   * limit or requested a backoff.
   *
   * @param waitMillis time after which to try again, in milliseconds
   */
  record RetryLater(long waitMillis) implements PlacementResult {}

  /**
   * No backend that could serve the request has room for it now; it may wait for one.
   *
   * @see org.lockdale.gateway.admission
   */
  record NoRoom() implements PlacementResult {}

  /**
   * The request can't be served in its time.
   *
   * @param retryAfterMillis time after which there is room for it, in milliseconds
   * @param forecastMillis forecast wait that caused the refusal, in milliseconds
   */
  record Refused(long retryAfterMillis, long forecastMillis) implements PlacementResult {}

  /** Returns the placement, or empty where no backend was chosen. */
  default Optional<Placement> placed() {
    return this instanceof Placed placed ? Optional.of(placed.placement()) : Optional.empty();
  }
}
