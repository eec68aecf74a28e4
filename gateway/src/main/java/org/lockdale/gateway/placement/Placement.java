package org.lockdale.gateway.placement;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CacheTransfer;

/**
 * Where a request is served.
 *
 * @param target the back end
 * @param weights version of the model's weights that it is believed to hold, or null
 * @param transfer moves of cached prompts around the request
 * @param computedTokens tokens of shared parts that the engine probably has to compute
 * @param waitingTokens prompt tokens that wait at the engine before this request
 * @param origin relay that decided, or null where this node did
 */
public record Placement(
    TrackedBackend target,
    @Nullable Long weights,
    CacheTransfer transfer,
    long computedTokens,
    long waitingTokens,
    @Nullable Origin origin) {

  /**
   * Where a placement comes from.
   *
   * @param relay id of the relay
   * @param number number of the placement at that relay
   */
  public record Origin(String relay, long number) {}
}
