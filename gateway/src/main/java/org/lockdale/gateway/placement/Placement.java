package org.lockdale.gateway.placement;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CacheTransfer;

/**
 * The backend chosen for a request.
 *
 * @param target the backend
 * @param weights version of the model's weights that it is expected to hold, or null where unknown
 * @param transfer transfers of cached prompts around the request
 * @param computedTokens tokens of shared prompt parts that the engine probably has to compute
 * @param waitingTokens prompt tokens that wait at the engine ahead of this request
 * @param origin relay that made the decision, or null where this node did; this node itself if it
 *     keeps count of the placements that are not open yet
 */
public record Placement(
    TrackedBackend target,
    @Nullable Long weights,
    CacheTransfer transfer,
    long computedTokens,
    long waitingTokens,
    @Nullable Origin origin) {

  /** Returns the placement with another origin. */
  public Placement withOrigin(Origin other) {
    return new Placement(target, weights, transfer, computedTokens, waitingTokens, other);
  }

  /**
   * The relay that made a placement.
   *
   * @param relay id of the relay node
   * @param number number of the placement at that relay
   */
  public record Origin(String relay, long number) {}
}
