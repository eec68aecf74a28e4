package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CacheTransfer;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.gateway.placement.PlacementService;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementDelay;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.QueryPart;
import org.lockdale.protocol.generated.RateGrant;
import org.tinylog.Logger;

/**
 * Queries the relay that places requests, since it receives the load of all nodes, and then another
 * relay if no answer arrives in time. If there is no relay, or none answers, this node decides by
 * its local state. Thread-safe.
 */
public final class PlacementClient implements PlacementService {

  /**
   * How long to wait for an answer. A relay in another zone answers within a few milliseconds; one
   * that is paused does not.
   */
  public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(40);

  /** Number of unanswered queries in a row after which a relay is no longer queried. */
  private static final int MAX_UNANSWERED_QUERIES = 3;

  /**
   * Shortest time between two log lines about rejected choices, in milliseconds, since each request
   * may cause one.
   */
  private static final long REJECTION_LOG_MILLIS = 1_000;

  /** Maximum number of backends that a query excludes, so that it fits into a datagram. */
  private static final int MAX_EXCLUDED = 24;

  private static final int MAX_EXCLUDED_AS_FAILING = 12;

  private record PendingQuery(
      String relay,
      PlacementQuery query,
      CompletableFuture<PlacementResult> result,
      boolean isRepeat) {}

  /**
   * Dependencies of a client.
   *
   * @param eventLoop runs the client's timers
   * @param datagrams sends queries
   * @param coordinator supplies the relay that places requests, or empty if this node does so
   *     itself
   * @param relays supplies the other relays that place requests, the most senior first
   * @param backends supplies the backends that are in the shared store
   * @param decider decides if no relay answers
   * @param uncounted receives placements that relays made without counting them against a rate
   * @param reporter notified of requests that count in a backend's load
   * @param time clock
   */
  public record Context(
      EventLoop eventLoop,
      DatagramExchange datagrams,
      Supplier<Optional<RelayElection.Relay>> coordinator,
      Supplier<List<RelayElection.Relay>> relays,
      Supplier<BackendTable> backends,
      PlacementDecider decider,
      UncountedPlacementListener uncounted,
      NodeReporter reporter,
      Time time) {}

  private final Context context;
  private final Duration answerTimeout;
  private final Consumer<RelayElection.Relay> onUnresponsive;
  private final Map<Long, PendingQuery> pending = new ConcurrentHashMap<>();
  private final Set<Long> grantedQueries = ConcurrentHashMap.newKeySet();
  private final AtomicLong lastNumber = new AtomicLong();
  private final AtomicInteger unansweredQueries = new AtomicInteger();
  private final AtomicLong nextRejectionLogMillis = new AtomicLong(Long.MIN_VALUE);

  /**
   * Creates a client.
   *
   * @param context dependencies
   * @param answerTimeout how long to wait for a relay's answer
   * @param onUnresponsive receives, on the event loop, a relay that no longer responds
   */
  public PlacementClient(
      Context context, Duration answerTimeout, Consumer<RelayElection.Relay> onUnresponsive) {
    this.context = context;
    this.answerTimeout = answerTimeout;
    this.onUnresponsive = onUnresponsive;
  }

  @Override
  public CompletableFuture<PlacementResult> place(PlacementQuery query) {
    Optional<RelayElection.Relay> coordinator = context.coordinator().get();
    // Relays of an earlier version would choose any software version.
    if (coordinator.isEmpty() || query.softwareVersion() != null) {
      return CompletableFuture.completedFuture(decide(query));
    }
    CompletableFuture<PlacementResult> result = new CompletableFuture<>();
    sendQuery(coordinator.get(), query, result, false);
    return result;
  }

  /** Decides by the state known to this node. */
  PlacementResult decide(PlacementQuery query) {
    return context.decider().decide(query, context.time().monotonicMillis());
  }

  private void sendQuery(
      RelayElection.Relay relay,
      PlacementQuery query,
      CompletableFuture<PlacementResult> result,
      boolean isRepeat) {
    long number = nextNumber();
    pending.put(number, new PendingQuery(relay.id(), query, result, isRepeat));
    context.datagrams().send(relay.address(), message(number, query));
    context
        .eventLoop()
        .schedule(() -> onTimeout(number, relay), answerTimeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns a number of a question that this node has not used yet. */
  long nextNumber() {
    return lastNumber.incrementAndGet();
  }

  /** Returns the question for a query. */
  PlacementQuestion message(long number, PlacementQuery query) {
    List<QueryPart> parts = new ArrayList<>(query.parts().size());
    query.parts().forEach(part -> parts.add(new QueryPart(part.id(), part.tokens())));
    return new PlacementQuestion(
        number,
        query.pool(),
        query.zone(),
        query.model(),
        query.cacheScope(),
        parts,
        excluded(query));
  }

  /**
   * Returns the backends that the relay must not choose. Besides those that the query excludes,
   * these are the backends that have announced to this node that they are draining or have
   * requested backoff from it, of which the relay may not know, and those that failed requests of
   * this node, since it may be the only one that cannot reach them.
   */
  private List<String> excluded(PlacementQuery query) {
    long now = context.time().monotonicMillis();
    List<TrackedBackend> pool = context.backends().get().ofPool(query.pool());
    Set<String> excluded = new LinkedHashSet<>(query.excluded());
    addMatching(
        excluded,
        pool,
        MAX_EXCLUDED,
        tracked -> tracked.hasAnnouncedDraining() || tracked.backoff().isActive(now));
    addMatching(
        excluded, pool, MAX_EXCLUDED_AS_FAILING, tracked -> tracked.health().isEjected(now));
    return List.copyOf(excluded);
  }

  private boolean acceptsRequests(TrackedBackend target) {
    return target.isServing() && !target.backoff().isActive(context.time().monotonicMillis());
  }

  private static void addMatching(
      Set<String> ids, List<TrackedBackend> pool, int limit, Predicate<TrackedBackend> condition) {
    for (TrackedBackend tracked : pool) {
      if (ids.size() < limit && condition.test(tracked)) {
        ids.add(tracked.backend().id());
      }
    }
  }

  private void onTimeout(long number, RelayElection.Relay relay) {
    PendingQuery pendingQuery = pending.remove(number);
    grantedQueries.remove(number);
    if (pendingQuery == null) {
      return;
    }
    if (unansweredQueries.incrementAndGet() >= MAX_UNANSWERED_QUERIES) {
      unansweredQueries.set(0);
      Logger.info("event=relay-silent relay={}", relay.id());
      onUnresponsive.accept(relay);
    }
    if (pendingQuery.result().isDone()) {
      // Cancelled: another relay would record a placement that no request uses.
      return;
    }
    Optional<RelayElection.Relay> next =
        pendingQuery.isRepeat() ? Optional.empty() : nextRelay(relay);
    if (next.isPresent()) {
      sendQuery(next.get(), pendingQuery.query(), pendingQuery.result(), true);
    } else {
      pendingQuery.result().complete(decide(pendingQuery.query()));
    }
  }

  /** Returns another relay, which receives the load of all nodes as well. */
  private Optional<RelayElection.Relay> nextRelay(RelayElection.Relay unresponsive) {
    return context.relays().get().stream()
        .filter(relay -> !relay.id().equals(unresponsive.id()))
        .findFirst();
  }

  /** Processes an answer. */
  public void onAnswer(String sender, PlacementAnswer answer) {
    PendingQuery pendingQuery = pending.remove(answer.getNumber());
    if (pendingQuery == null || !pendingQuery.relay().equals(sender)) {
      return;
    }
    unansweredQueries.set(0);
    boolean isGranted = grantedQueries.remove(answer.getNumber());
    if (pendingQuery.result().isDone()) {
      // Cancelled: the placement must not count in the rate of its backend.
      return;
    }
    Placement placement = placement(sender, pendingQuery.query(), answer, isGranted);
    pendingQuery
        .result()
        .complete(
            placement == null
                ? decide(pendingQuery.query())
                : new PlacementResult.Placed(placement));
  }

  /**
   * Processes a grant: the placement in the answer that follows has been counted against the rate
   * of its backend. A relay of an earlier version never sends it, nor does one that has just
   * started and has received no rates yet.
   */
  void onGrant(String sender, RateGrant grant) {
    PendingQuery pendingQuery = pending.get(grant.getNumber());
    if (pendingQuery != null && pendingQuery.relay().equals(sender)) {
      grantedQueries.add(grant.getNumber());
    }
  }

  /** Processes a delay: no backend that could serve the request accepts more at present. */
  void onDelay(String sender, PlacementDelay delay) {
    PendingQuery pendingQuery = pending.get(delay.getNumber());
    if (pendingQuery != null && pendingQuery.relay().equals(sender)) {
      pending.remove(delay.getNumber());
      unansweredQueries.set(0);
      pendingQuery.result().complete(new PlacementResult.RetryLater(delay.getWaitMillis()));
    }
  }

  /** Returns the placement of an answer, or null if this node can't use it. */
  @Nullable Placement placement(
      String sender, PlacementQuery query, PlacementAnswer answer, boolean isGranted) {
    String engine = answer.getEngine();
    TrackedBackend target = engine == null ? null : context.backends().get().resolve(engine);
    if (target == null || target.isAmong(query.excluded()) || !acceptsRequests(target)) {
      return null;
    }
    Long weights = weightsOf(query, target, answer);
    if (weights != null && isOutdated(sender, query, target, weights)) {
      return null;
    }
    if (!isGranted && !context.decider().tryCount(target)) {
      context.uncounted().onUncountedPlacement(sender, target.backend().id());
      return null;
    }
    CacheTransfer transfer =
        new CacheTransfer(
            PlacementMessages.address(answer.getSource()),
            PlacementMessages.address(answer.getDestination()));
    return new Placement(
        target,
        weights,
        transfer,
        answer.getComputedTokens(),
        answer.getWaitingTokens(),
        new Placement.Origin(sender, answer.getPlacement()));
  }

  /**
   * Returns whether weights are too old by the target versions that this node knows. The sender of
   * a request is responsible for the weights that serve it, and a relay that has just started may
   * not know how long ago the newest target version was set.
   */
  private boolean isOutdated(
      String relay, PlacementQuery query, TrackedBackend target, long weights) {
    String model = query.model();
    long now = context.time().monotonicMillis();
    boolean outdated = model != null && context.decider().isOutdated(model, weights, now);
    if (outdated) {
      logRejected(relay, target, weights, now);
    }
    return outdated;
  }

  /**
   * Returns the weights to expect; this node determines them if the relay does not know those of
   * the engine.
   */
  private @Nullable Long weightsOf(
      PlacementQuery query, TrackedBackend target, PlacementAnswer answer) {
    return answer.getWeights() == null && query.model() != null
        ? context.decider().expectedWeights(target, query.model())
        : answer.getWeights();
  }

  private void logRejected(String relay, TrackedBackend target, long weights, long nowMillis) {
    long next = nextRejectionLogMillis.get();
    boolean due = nowMillis >= next;
    if (due && nextRejectionLogMillis.compareAndSet(next, nowMillis + REJECTION_LOG_MILLIS)) {
      Logger.info(
          "event=placement-rejected cause=outdated-weights relay={} backend={} weights={}",
          relay,
          target.backend().id(),
          weights);
    }
  }

  @Override
  public void recordOpened(Placement placement) {
    Placement.Origin origin = placement.origin();
    if (origin != null) {
      context.reporter().noteOpened(origin.relay(), origin.number());
    }
  }
}
