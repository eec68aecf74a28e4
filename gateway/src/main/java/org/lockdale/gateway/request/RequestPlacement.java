package org.lockdale.gateway.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CacheNamespace;
import org.lockdale.gateway.capacity.SilentEngines;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;

/** Places one request by the placement of this node, for attempts over its connections. */
final class RequestPlacement implements AttemptPlacing {

  private final RequestPath path;
  private final RequestState state;

  RequestPlacement(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
  }

  @Override
  public CompletableFuture<PlacementResult> place() {
    state.terms = path.terms().termsOf(state, path.nowMillis());
    return path.services()
        .placements()
        .place(
            new PlacementQuery(
                state.pool,
                path.zone(),
                state.request.model(),
                cacheScope(),
                state.request.promptParts(),
                excluded(),
                state.origin == null ? null : state.origin.softwareVersion(),
                state.terms));
  }

  /**
   * Returns the backends that must not be chosen. A request that may run only once is not sent to a
   * silent engine, not even to find out whether it responds again, unless all engines are silent.
   */
  private Set<String> excluded() {
    SilentEngines silent = path.services().engines().silent();
    if (!silent.isAnySilent() || state.route().isRepeatable()) {
      return state.triedBackends;
    }
    List<TrackedBackend> pool = path.pools().backends(state);
    List<TrackedBackend> responding =
        pool.stream().filter(tracked -> !silent.isSilent(tracked)).toList();
    if (responding.size() == pool.size() || responding.isEmpty()) {
      return state.triedBackends;
    }
    Set<String> excluded = new HashSet<>(state.triedBackends);
    for (TrackedBackend tracked : pool) {
      if (silent.isSilent(tracked)) {
        excluded.add(tracked.backend().id());
      }
    }
    return excluded;
  }

  @Override
  public RunningAttempt createAttempt(
      Placement placement,
      Runnable onFirstEvent,
      BiConsumer<RunningAttempt, AttemptResult> onConcluded) {
    return new BackendAttempt(path, state, placement, planOf(placement), onFirstEvent, onConcluded);
  }

  @Override
  public void recordOpened(Placement placement) {
    path.services().placements().recordOpened(placement);
  }

  private AttemptPlan planOf(Placement placement) {
    Long weights = placement.weights();
    return new AttemptPlan(
        placement.target().backend(),
        state.tenant,
        state.deadlineAtMillis() - path.nowMillis(),
        state.priority(),
        CacheNamespace.of(weights, cacheScope()),
        weights,
        placement.transfer(),
        state.response.lastEventId());
  }

  /**
   * Returns the scope within which cached prompts are shared by the configuration in force now; the
   * tenant may have become isolated while the request waited.
   */
  private @Nullable String cacheScope() {
    return path.configuration().cacheScopeOf(state.tenant);
  }
}
