package org.lockdale.gateway.placement;

import java.util.Optional;
import org.lockdale.gateway.backend.TrackedBackend;

/** Chooses the backend of a request among the candidates. Thread-safe. */
public interface BackendSelector {

  /**
   * Chooses a backend.
   *
   * @param request the request to place and its candidates
   * @param nowMillis monotonic time in milliseconds
   * @return the backend, or empty where no candidate is available
   */
  Optional<TrackedBackend> choose(PlacementRequest request, long nowMillis);

  /** Returns the prompt tokens that wait at a backend, of the requests of all nodes. */
  long waitingTokens(TrackedBackend candidate);

  /**
   * Returns the prompt tokens that wait at a backend and are expected to be computed before the
   * prompt of a request.
   */
  default long waitingTokensAhead(TrackedBackend candidate, PlacementRequest request) {
    return waitingTokens(candidate);
  }
}
