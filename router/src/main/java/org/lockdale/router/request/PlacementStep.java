package org.lockdale.router.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.placement.PrefixChain;
import org.lockdale.coordination.time.Time;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.limit.CapacityQueue;
import org.lockdale.router.placement.CacheSalt;
import org.lockdale.router.placement.EngineChooser;
import org.lockdale.router.placement.Placement;
import org.lockdale.router.placement.PlacementRequest;
import org.lockdale.router.placement.PopularityCounter;
import org.lockdale.router.placement.PrefixIndex;
import org.lockdale.router.placement.PrefixMatch;

/**
 * Chooses an engine. If none has capacity, the request waits in the queue of this node, ordered by
 * priority and by the weights of the tenants. A request that is not expected to start before its
 * deadline is rejected at once.
 */
final class PlacementStep implements RequestStep {

  private final Blackboard blackboard;
  private final PrefixIndex prefixes;
  private final PopularityCounter popularity = new PopularityCounter();
  private final CapacityQueue queue;
  private final DrainRate drainRate;
  private final String zone;
  private final Time time;

  PlacementStep(
      Blackboard blackboard,
      PrefixIndex prefixes,
      CapacityQueue queue,
      DrainRate drainRate,
      String zone,
      Time time) {
    this.blackboard = blackboard;
    this.prefixes = prefixes;
    this.queue = queue;
    this.drainRate = drainRate;
    this.zone = zone;
    this.time = time;
  }

  @Override
  public CompletableFuture<Next> apply(RequestContext context) {
    Placement placement =
        choose(context)
            .orElseThrow(
                () ->
                    RequestException.of(
                        ErrorKind.NO_ENGINE,
                        "No engine allowed by route '" + context.route.name() + "' is available."));
    if (placement.expectedMillis() > context.millisToDeadline()) {
      throw overloadedError(placement.expectedMillis());
    }
    boolean canStart = placement.hasCapacity() && queue.lengthAtOrAbove(level(context)) == 0;
    if (canStart) {
      assign(context, placement);
      return CONTINUE;
    }
    return waitForCapacity(context);
  }

  private static int level(RequestContext context) {
    return context.route.priority().level();
  }

  private void assign(RequestContext context, Placement placement) {
    context.placement = placement;
    placement
        .engine()
        .activity()
        .recordSend(context.promptTokens - placement.estimatedCachedTokens());
    context.enter(RequestStage.PLACED);
  }

  private CompletableFuture<Next> waitForCapacity(RequestContext context) {
    double expectedWait = drainRate.expectedMillis(queue.lengthAtOrAbove(level(context)) + 1);
    if (expectedWait > context.millisToDeadline()) {
      throw overloadedError(expectedWait);
    }
    CapacityQueue.Waiter waiter =
        queue.add(
            level(context),
            context.tenant.name(),
            context.tenant.limit().weight(),
            () -> tryStart(context));
    if (waiter == null) {
      throw overloadedError(drainRate.expectedMillis(queue.length()));
    }
    context.enter(RequestStage.QUEUED);
    CompletableFuture<Next> placed = new CompletableFuture<>();
    waiter
        .started()
        .thenRunAsync(() -> placed.complete(Next.CONTINUE), context.exchange.eventLoop());
    failAtDeadline(context, waiter, placed);
    removeOnDisconnect(context, waiter, placed);
    queue.drain();
    return placed;
  }

  private boolean tryStart(RequestContext context) {
    Optional<Placement> placement = choose(context);
    if (placement.isEmpty() || !placement.get().hasCapacity()) {
      return false;
    }
    assign(context, placement.get());
    drainRate.recordStart(time.monotonicMillis());
    return true;
  }

  private void failAtDeadline(
      RequestContext context, CapacityQueue.Waiter waiter, CompletableFuture<Next> placed) {
    var timer =
        context
            .exchange
            .eventLoop()
            .schedule(
                () -> {
                  if (queue.remove(waiter)) {
                    placed.completeExceptionally(
                        RequestException.of(
                            ErrorKind.DEADLINE_EXPIRED,
                            "The deadline passed while the request waited for an engine."));
                  }
                },
                Math.max(0, context.millisToDeadline()),
                TimeUnit.MILLISECONDS);
    placed.whenComplete((next, failure) -> timer.cancel(false));
  }

  private void removeOnDisconnect(
      RequestContext context, CapacityQueue.Waiter waiter, CompletableFuture<Next> placed) {
    context
        .exchange
        .disconnected()
        .thenRun(
            () -> {
              if (queue.remove(waiter)) {
                placed.complete(Next.ANSWERED);
              }
            });
  }

  private static RequestException overloadedError(double expectedMillis) {
    int seconds = (int) Math.min(60, Math.max(1, Math.ceil(expectedMillis / 1_000)));
    return RequestException.builder(
            ErrorKind.OVERLOADED, "The engines are too busy to start the request in time.")
        .retryAfterSeconds(seconds)
        .build();
  }

  private Optional<Placement> choose(RequestContext context) {
    EngineTable engines = blackboard.engines().value();
    long now = time.monotonicMillis();
    String weights = selectWeightsVersion(context, engines, now);
    PrefixChain chain = chainFor(context, weights);
    context.chain = chain;
    PrefixMatch match = prefixes.match(chain, now);
    if (context.popularity == null) {
      context.popularity = popularity.count(chain, match, now);
    }
    return EngineChooser.choose(
        placementRequest(context, weights, chain), match, engines, context.policies, zone, now);
  }

  private static PlacementRequest placementRequest(
      RequestContext context, String weights, PrefixChain chain) {
    return new PlacementRequest(
        context.model.model(),
        weights,
        context.route.engines(),
        context.excludedEngines,
        chain,
        context.promptTokens,
        level(context),
        context.popularity);
  }

  /**
   * Returns the weights version to request. It is the configured one, unless only other versions
   * are held by the engines that may serve the request: while a new version is rolled out, requests
   * continue with the old one.
   */
  private static String selectWeightsVersion(
      RequestContext context, EngineTable engines, long now) {
    String wanted = context.model.weightsVersion();
    String fallback = null;
    for (EngineView engine : engines.engines()) {
      String held = engine.weights().get(context.model.model());
      boolean allowed =
          held != null
              && engine.isUsable(now)
              && context.route.engines().matches(engine.labels())
              && !context.excludedEngines.contains(engine.id());
      if (allowed && held.equals(wanted)) {
        return wanted;
      }
      fallback = allowed ? held : fallback;
    }
    return fallback == null ? wanted : fallback;
  }

  /** Returns the prefix chain of a request, computed again if the weights version has changed. */
  private static PrefixChain chainFor(RequestContext context, String weights) {
    if (context.chain != null && weights.equals(context.weightsVersion)) {
      return context.chain;
    }
    context.weightsVersion = weights;
    CacheSalt salt = CacheSalt.of(context.tenant.name(), context.model, weights);
    context.cacheSalt = salt.value();
    return salt.chainOf(context.request.prompt());
  }
}
