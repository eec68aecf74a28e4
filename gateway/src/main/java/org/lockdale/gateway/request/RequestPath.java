package org.lockdale.gateway.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendProtocol;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.caller.CallerProtocol;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.MalformedRequestException;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.drain.BackendStatements;
import org.lockdale.gateway.life.LifeEvidence;
import org.lockdale.gateway.life.LifeWatch;
import org.lockdale.gateway.limit.RetryBudget;
import org.lockdale.gateway.limit.TenantLimiter;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementService;
import org.lockdale.gateway.placement.SplitSelector;
import org.lockdale.gateway.quarantine.Quarantine;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.usage.RequestCounter;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.protocol.generated.AttemptVerdict;
import org.tinylog.Logger;

/**
 * The path of a request: it is read, passes the filters, and is then tried at back ends until it
 * has its answer.
 */
public final class RequestPath implements HttpHandler {

  /** Outcome of a request whose whole answer was passed on. */
  static final String COMPLETE = "complete";

  /** How often a request that waits for the start looks whether it may go on. */
  private static final long START_CHECK_MILLIS = 15;

  private final GatewayBlackboard blackboard;
  private final CallerProtocol callerProtocol;
  private final BackendProtocol backendProtocol;
  private final HttpClient client;
  private final PlacementService placements;
  private final PlacementDecider decider;
  private final Quarantine quarantine;
  private final LifeWatch lives;
  private final BackendRates rates;
  private final BackendStatements statements;
  private final String zone;
  private final AttemptObserver observer;
  private final IntSupplier nodes;
  private final RetryBudget budget;
  private final long startWaitMillis;
  private final Time time;
  private final SplitSelector splits = new SplitSelector();
  private final List<RequestFilter> filters;
  private final PoolWaits waits;
  private final TenantLimitStep tenantLimits;
  private final AtomicInteger openRequests = new AtomicInteger();
  private final RequestCounter ended = new RequestCounter();

  /**
   * Creates the path.
   *
   * @param blackboard what the node believes
   * @param callerProtocol protocol of callers
   * @param backendProtocol protocol of back ends
   * @param client sends requests
   * @param limits bounds that the path keeps
   * @param nodes tells the number of nodes of the deployment
   * @param limiter keeps tenants to their limits
   * @param placements tells where requests are served
   * @param decider what this node believes itself
   * @param quarantine tells which requests are held back
   * @param lives told of requests that were not meant for whoever answered
   * @param rates what is known of the rates that back ends name
   * @param statements takes in what answers say of leavings and rests
   * @param zone zone of the node
   * @param observer told of the progress of attempts
   * @param time clock
   */
  public RequestPath(
      GatewayBlackboard blackboard,
      CallerProtocol callerProtocol,
      BackendProtocol backendProtocol,
      HttpClient client,
      RequestLimits limits,
      IntSupplier nodes,
      TenantLimiter limiter,
      PlacementService placements,
      PlacementDecider decider,
      Quarantine quarantine,
      LifeWatch lives,
      BackendRates rates,
      BackendStatements statements,
      String zone,
      AttemptObserver observer,
      Time time) {
    this.blackboard = blackboard;
    this.callerProtocol = callerProtocol;
    this.backendProtocol = backendProtocol;
    this.client = client;
    this.placements = placements;
    this.decider = decider;
    this.quarantine = quarantine;
    this.lives = lives;
    this.rates = rates;
    this.statements = statements;
    this.zone = zone;
    this.observer = observer;
    this.nodes = nodes;
    this.budget =
        RetryBudget.ofDeployment(
            limits.retryRatio(), limits.retryAllowance(), limits.retryWindow().toMillis(), nodes);
    this.startWaitMillis = limits.startWait().toMillis();
    this.time = time;
    this.waits = new PoolWaits(time);
    this.tenantLimits = new TenantLimitStep(limiter);
    this.filters =
        List.of(
            new PhaseFilter(blackboard.phase()),
            new RouteFilter(backendProtocol::isControlPath),
            new TenantFilter(limits.maxKeyProofAge().toMillis()),
            new QuarantineFilter(quarantine, time));
  }

  /** Returns the number of requests that have no final answer yet. */
  public int openRequests() {
    return openRequests.get();
  }

  /** Returns the requests that have ended so far, by outcome. */
  public Map<String, Long> endedByOutcome() {
    return ended.totals();
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (exchange.disconnected().isDone()) {
      // It left while it waited for the start; servers that run its request would work in vain.
      return;
    }
    if (isStarting() && ageMillis(exchange) < startWaitMillis) {
      exchange
          .eventLoop()
          .schedule(() -> handle(exchange), START_CHECK_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    serve(exchange);
  }

  /** A node that has just started knows in a moment what it needs. */
  private boolean isStarting() {
    return !blackboard.configuration().value().isKnown()
        || blackboard.backends().value().all().isEmpty()
        || blackboard.suspects().snapshot().version() == 0;
  }

  private static long ageMillis(HttpExchange exchange) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - exchange.receivedNanos());
  }

  private void serve(HttpExchange exchange) {
    if (blackboard.phase().value().isEnding()) {
      exchange.closeAfterReply();
    }
    openRequests.incrementAndGet();
    CallerRequest request;
    try {
      request = callerProtocol.read(exchange);
    } catch (MalformedRequestException malformed) {
      openRequests.decrementAndGet();
      exchange.reply(render(Refusal.of(RefusalKind.MALFORMED, malformed.getMessage())));
      return;
    }
    admit(stateOf(exchange, request));
  }

  private RequestState stateOf(HttpExchange exchange, CallerRequest request) {
    long now = time.monotonicMillis();
    long arrivedAt = now - ageMillis(exchange);
    Snapshot<GatewayConfiguration> configuration = blackboard.configuration().snapshot();
    return new RequestState(
        exchange, request, configuration.value(), configuration.ageMillis(now), arrivedAt);
  }

  private void admit(RequestState state) {
    for (RequestFilter filter : filters) {
      Refusal refusal = filter.apply(state);
      if (refusal != null) {
        refuse(state, refusal);
        return;
      }
    }
    tenantLimits.apply(state, () -> proceed(state), refusal -> refuse(state, refusal));
  }

  private void refuse(RequestState state, Refusal refusal) {
    state.exchange.reply(render(refusal));
    ended(state, refusal.kind().name());
  }

  private void proceed(RequestState state) {
    state.pool = splits.next(state.route());
    budget.requested(state.pool, time.monotonicMillis());
    new RequestExecution(this, state).start();
  }

  PlacementService placements() {
    return placements;
  }

  PlacementDecider decider() {
    return decider;
  }

  Quarantine quarantine() {
    return quarantine;
  }

  LifeWatch lives() {
    return lives;
  }

  LifeEvidence lifeEvidence() {
    return quarantine.lives();
  }

  BackendRates rates() {
    return rates;
  }

  BackendStatements statements() {
    return statements;
  }

  /** Returns whether a back end of the request's pool was not tried yet. */
  boolean hasUntried(RequestState state) {
    return blackboard.backends().value().ofPool(state.pool).stream()
        .filter(tracked -> tracked.isServing() && !tracked.rest().isOn(nowMillis()))
        .anyMatch(tracked -> !state.triedBackends.contains(tracked.backend().id()));
  }

  /**
   * Returns the connections that this node may have open to a back end of a request's pool: its
   * part of those that the back end takes from all nodes together, as it resets what is beyond.
   */
  int mostConnections(RequestState state) {
    int all =
        state.configuration.pool(state.pool).map(Pool::maxConnections).orElse(Integer.MAX_VALUE);
    return Math.max(1, all / Math.max(1, nodes.getAsInt()));
  }

  /** Returns when a caller whom no back end serves now is to come back, in milliseconds. */
  long comeBackMillis(RequestState state) {
    long queued = waits.comeBackMillis(state);
    long rest = restMillis(state.pool);
    return rest == 0 ? queued : Math.max(queued, rates.comeBackMillis(state.pool, List.of(), rest));
  }

  /** Returns the time until the first back end of a pool has rested; 0 if one does not rest. */
  private long restMillis(String pool) {
    long now = nowMillis();
    return blackboard.backends().value().ofPool(pool).stream()
        .filter(TrackedBackend::isServing)
        .mapToLong(tracked -> tracked.rest().remainingMillis(now))
        .min()
        .orElse(0);
  }

  /** Returns the zone of this node. */
  String zone() {
    return zone;
  }

  /** Notes that a request has begun to be answered or has ended. */
  void workChanged() {
    observer.workChanged();
  }

  /** Tells the relays what an attempt showed of its back end. */
  void report(TrackedBackend target, AttemptResult result) {
    AttemptVerdict verdict =
        switch (result) {
          case COMPLETE -> AttemptVerdict.SUCCEEDED;
          case NOT_SENT -> AttemptVerdict.UNREACHABLE;
          case FAILED, BROKEN_OFF -> AttemptVerdict.FAILED;
          case NOT_RUN -> AttemptVerdict.REJECTED;
          // Nothing was sent, so nothing was shown.
          case WITHDRAWN -> null;
          // The mistake may be this node's own: it says nothing of the back end to others.
          case MISDIRECTED -> null;
        };
    if (verdict == null) {
      observer.workChanged();
    } else {
      observer.concluded(target.backend().id(), verdict);
    }
  }

  HttpReply render(Refusal refusal) {
    return callerProtocol.render(refusal);
  }

  /** Notes that no back end has run a request or ever will. */
  void notRun(RequestState state) {
    tenantLimits.giveBack(state);
  }

  void ended(RequestState state, String outcome) {
    openRequests.decrementAndGet();
    ended.ended(outcome);
    boolean late = state.route != null && state.isLateStream();
    if (late || !outcome.equals(COMPLETE)) {
      Logger.info(
          "event=request-ended request={} outcome={} late={} pool={} backend={} sends={} millis={}"
              + " first-event-ms={} longest-gap-ms={} prompt-tokens={} waiting-tokens={}"
              + " deferred={}",
          state.request.id(),
          outcome,
          late,
          state.pool,
          state.backend,
          state.sends,
          time.monotonicMillis() - state.arrivedAtMillis,
          state.firstEventMillis,
          state.longestGapMillis,
          state.promptTokens(),
          state.waitingTokens,
          state.deferred);
    }
  }

  Time time() {
    return time;
  }

  BackendProtocol backendProtocol() {
    return backendProtocol;
  }

  PoolWaits waits() {
    return waits;
  }

  RetryBudget budget() {
    return budget;
  }

  HttpClient client() {
    return client;
  }

  long nowMillis() {
    return time.monotonicMillis();
  }

  @Override
  public HttpReply renderProtocolError(HttpProtocolError error) {
    return HttpReply.text(error.status(), error.remedy())
        .with(HttpHeaderNames.CACHE_CONTROL, "no-store");
  }
}
