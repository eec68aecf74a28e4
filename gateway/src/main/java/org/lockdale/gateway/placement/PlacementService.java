package org.lockdale.gateway.placement;

import java.util.concurrent.CompletableFuture;

/** Port by which the request path learns where a request is served. */
public interface PlacementService {

  /** Returns where a request is served, or why it isn't now; never fails. */
  CompletableFuture<PlacementResult> place(PlacementQuery query);

  /** Notes that a placed request counts in the load of its back end from now on. */
  void opened(Placement placement);
}
