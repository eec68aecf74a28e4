package org.lockdale.gateway.request;

import java.util.concurrent.CompletableFuture;
import org.lockdale.gateway.placement.PlacementResult;

/** A placement whose result may come after it was cancelled. */
final class SimulatedPlacement extends CompletableFuture<PlacementResult> {

  private final RequestInvariants invariants;
  private final boolean completesAfterCancel;
  private boolean over;

  SimulatedPlacement(RequestInvariants invariants, boolean completesAfterCancel) {
    this.invariants = invariants;
    this.completesAfterCancel = completesAfterCancel;
  }

  @Override
  public boolean complete(PlacementResult result) {
    finish();
    return super.complete(result);
  }

  @Override
  public boolean cancel(boolean mayInterruptIfRunning) {
    finish();
    return !completesAfterCancel && super.cancel(mayInterruptIfRunning);
  }

  private void finish() {
    if (!over) {
      over = true;
      invariants.placementOver();
    }
  }
}
