package org.lockdale.gateway.request;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementResult;

/** Places one request, and creates the attempts at the chosen backends. */
interface AttemptPlacing {

  /** Chooses a backend that was not tried yet; the future never completes exceptionally. */
  CompletableFuture<PlacementResult> place();

  /**
   * Creates an attempt at the chosen backend.
   *
   * @param onFirstEvent run when the first event of a stream arrives
   * @param onConcluded receives the result
   */
  RunningAttempt createAttempt(
      Placement placement,
      Runnable onFirstEvent,
      BiConsumer<RunningAttempt, AttemptResult> onConcluded);

  /** Records that a placed request is included in the load of its backend from now on. */
  void recordOpened(Placement placement);
}
