package org.lockdale.gateway.placement;

import java.util.concurrent.CompletableFuture;

/** Port through which the request path has requests placed. */
public interface PlacementService {

  /** Decides where a request is served; the future never completes exceptionally. */
  CompletableFuture<PlacementResult> place(PlacementQuery query);

  /** Records that a placed request is included in the reported load of its backend from now on. */
  void recordOpened(Placement placement);
}
