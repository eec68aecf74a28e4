package org.lockdale.gateway.placement;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.caller.PromptPart;

/**
 * What a back end is wanted for.
 *
 * @param pool name of the pool
 * @param zone zone of the node that asks
 * @param model model of the request, or null for a request without one
 * @param isolatedTenant tenant whose cached prompts are not shared with others, or null
 * @param parts parts of the prompt, the last one the request's own; none without a prompt
 * @param excluded ids of back ends that must not be chosen
 */
public record PlacementQuery(
    String pool,
    String zone,
    @Nullable String model,
    @Nullable String isolatedTenant,
    List<PromptPart> parts,
    Set<String> excluded) {

  /** Copies the collections. */
  public PlacementQuery {
    parts = List.copyOf(parts);
    excluded = Set.copyOf(excluded);
  }
}
