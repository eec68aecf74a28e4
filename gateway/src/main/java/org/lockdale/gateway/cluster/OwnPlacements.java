package org.lockdale.gateway.cluster;

import java.util.List;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementResult;

/**
 * Counts the placements that this node makes for its own requests until their attempts are open,
 * which happens on other event loops.
 */
final class OwnPlacements {

  private final String selfId;
  private final PeerLoads loads;
  private long lastNumber;

  /**
   * Creates an instance.
   *
   * @param selfId id of this node
   * @param loads records the placements
   */
  OwnPlacements(String selfId, PeerLoads loads) {
    this.selfId = selfId;
    this.loads = loads;
  }

  /** Completes a ticket; must be called on one event loop. */
  void complete(OpenTicket open, PlacementResult result) {
    if (!(result instanceof PlacementResult.Placed placed)) {
      open.result.complete(result);
      return;
    }
    Placement placement = placed.placement();
    List<PromptPart> parts = open.query.parts();
    long own = parts.isEmpty() ? 0 : parts.get(parts.size() - 1).tokens();
    lastNumber++;
    long tokens = placement.computedTokens() + own;
    loads.recordPlacement(selfId, lastNumber, placement.target().backend().id(), tokens);
    Placement.Origin origin = new Placement.Origin(selfId, lastNumber);
    if (!open.result.complete(new PlacementResult.Placed(placement.withOrigin(origin)))) {
      loads.dropPlacement(selfId, lastNumber);
    }
  }

  /**
   * Records that the attempt of a placement is open; may be called by any thread.
   *
   * @return whether this node made the placement
   */
  boolean recordOpened(Placement placement) {
    Placement.Origin origin = placement.origin();
    boolean own = origin != null && origin.relay().equals(selfId);
    if (origin != null && own) {
      loads.dropPlacement(selfId, origin.number());
    }
    return own;
  }
}
