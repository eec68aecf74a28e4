package org.lockdale.gateway.placement;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.MissingPrefix;

/**
 * Input of the choice of a backend: the request and the state of the candidates.
 *
 * @param pool name of the pool
 * @param zone zone of the node that sends the request
 * @param candidates backends that may serve the request
 * @param excluded ids of backends that must not be chosen, such as those already tried
 * @param prompt the prompt, or null for a request without one
 * @param missingPrefixOf estimates which of the prompt's shared parts a candidate lacks
 * @param conditions conditions of the candidates, such as outdated weights or a reached rate limit
 * @param terms objectives and priority of the request, or null where they are not known
 */
public record PlacementRequest(
    String pool,
    String zone,
    List<TrackedBackend> candidates,
    Set<String> excluded,
    @Nullable PromptPlacement prompt,
    Function<TrackedBackend, MissingPrefix> missingPrefixOf,
    CandidateConditions conditions,
    @Nullable AdmissionTerms terms) {

  /**
   * Creates a request whose candidates all hold current weights and accept requests, and whose
   * objectives and priority are not known.
   */
  public PlacementRequest(
      String pool,
      String zone,
      List<TrackedBackend> candidates,
      Set<String> excluded,
      @Nullable PromptPlacement prompt,
      Function<TrackedBackend, MissingPrefix> missingPrefixOf) {
    this(pool, zone, candidates, excluded, prompt, missingPrefixOf, CandidateConditions.NONE, null);
  }

  /** Returns the same request with other conditions of its candidates. */
  public PlacementRequest withConditions(CandidateConditions newConditions) {
    return new PlacementRequest(
        pool, zone, candidates, excluded, prompt, missingPrefixOf, newConditions, terms);
  }

  /** Returns the same request with its objectives and priority, or null where not known. */
  public PlacementRequest withTerms(@Nullable AdmissionTerms known) {
    return new PlacementRequest(
        pool, zone, candidates, excluded, prompt, missingPrefixOf, conditions, known);
  }
}
