package org.lockdale.gateway.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementQuery;

/**
 * The engines that may serve waiting requests. They are kept for a few milliseconds, since a pass
 * over the queue needs them for each request; the decision itself uses the present ones. Confined
 * to one thread.
 */
final class AdmissionCandidates {

  private static final long KEPT_MILLIS = 5;

  private record Kind(String pool, @Nullable String model) {}

  private record Kept(List<TrackedBackend> engines, long atMillis) {}

  private final PlacementDecider decider;
  private final Time time;
  private final Map<Kind, Kept> kept = new HashMap<>();

  AdmissionCandidates(PlacementDecider decider, Time time) {
    this.decider = decider;
    this.time = time;
  }

  /** Returns the engines that may serve a request, with and without room for it. */
  List<TrackedBackend> of(PlacementQuery query) {
    long now = time.monotonicMillis();
    Kind kind = new Kind(query.pool(), query.model());
    Kept known = kept.get(kind);
    if (known == null || now - known.atMillis() >= KEPT_MILLIS) {
      // The model comes from the caller, so that there may be any number of kinds.
      kept.values().removeIf(each -> now - each.atMillis() >= KEPT_MILLIS);
      known = new Kept(decider.candidates(query, now), now);
      kept.put(kind, known);
    }
    return known.engines();
  }
}
