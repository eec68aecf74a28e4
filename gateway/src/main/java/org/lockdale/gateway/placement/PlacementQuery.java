package org.lockdale.gateway.placement;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.caller.PromptParts;

/**
 * The request for which a backend is needed.
 *
 * @param pool name of the pool
 * @param zone zone of the node that sends the request
 * @param model model of the request, or null for a request without one
 * @param cacheScope scope within which cached prompts are shared, or null for the one that is
 *     shared while no tenant is isolated
 * @param parts parts of the prompt, the last of which is unique to the request; empty without a
 *     prompt
 * @param excluded ids of backends that must not be chosen
 * @param softwareVersion the only software version that may be chosen, or null for any
 * @param terms what the order of the request depends on if it may wait for room, or null for a
 *     request that is placed at once
 */
public record PlacementQuery(
    String pool,
    String zone,
    @Nullable String model,
    @Nullable String cacheScope,
    List<PromptPart> parts,
    Set<String> excluded,
    @Nullable String softwareVersion,
    @Nullable AdmissionTerms terms) {

  /** Creates a query with copies of the collections. */
  public PlacementQuery {
    parts = PromptParts.copyOf(parts);
    excluded = Set.copyOf(excluded);
  }

  /** Returns the query of the same request with other terms; null to have it placed at once. */
  public PlacementQuery withTerms(@Nullable AdmissionTerms other) {
    return new PlacementQuery(
        pool, zone, model, cacheScope, parts, excluded, softwareVersion, other);
  }
}
