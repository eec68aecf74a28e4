package org.lockdale.gateway.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendProtocol;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CachePlanner;
import org.lockdale.gateway.caller.CallerProtocol;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.MalformedRequestException;
import org.lockdale.gateway.cluster.PeerLoads;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.limit.RetryBudget;
import org.lockdale.gateway.node.GatewayBlackboard;
import org.lockdale.gateway.placement.BackendChooser;
import org.lockdale.gateway.placement.SplitSelector;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.tinylog.Logger;

/**
 * The path of a request: it is read, passes the filters, and is then tried at back ends until it
 * has its answer.
 */
public final class RequestPath implements HttpHandler {

  /** Outcome of a request whose whole answer was passed on. */
  static final String COMPLETE = "complete";

  private final GatewayBlackboard blackboard;
  private final CallerProtocol callerProtocol;
  private final BackendProtocol backendProtocol;
  private final HttpClient client;
  private final BackendChooser chooser;
  private final RetryBudget budget;
  private final WeightsPolicy weightsPolicy;
  private final Time time;
  private final SplitSelector splits = new SplitSelector();
  private final List<RequestFilter> filters;
  private final CachePlanner cachePlanner;
  private final AtomicInteger openRequests = new AtomicInteger();

  /**
   * Creates the path.
   *
   * @param blackboard what the node believes
   * @param callerProtocol protocol of callers
   * @param backendProtocol protocol of back ends
   * @param client sends requests
   * @param limits bounds that the path keeps
   * @param cachePlanner plans moves of cached prompts
   * @param peerLoads load of other nodes
   * @param zone zone of the node
   * @param time clock
   */
  public RequestPath(
      GatewayBlackboard blackboard,
      CallerProtocol callerProtocol,
      BackendProtocol backendProtocol,
      HttpClient client,
      RequestLimits limits,
      CachePlanner cachePlanner,
      PeerLoads peerLoads,
      String zone,
      Time time) {
    this.blackboard = blackboard;
    this.callerProtocol = callerProtocol;
    this.backendProtocol = backendProtocol;
    this.client = client;
    this.chooser = new BackendChooser(zone, peerLoads::waitingTokens);
    this.budget =
        new RetryBudget(
            limits.retryRatio(), limits.retryAllowance(), limits.retryWindow().toMillis());
    this.weightsPolicy = new WeightsPolicy(limits.weightsBound().toMillis());
    this.time = time;
    this.cachePlanner = cachePlanner;
    this.filters =
        List.of(
            new PhaseFilter(blackboard.phase()),
            new RouteFilter(),
            new TenantFilter(limits.maxKeyProofAge().toMillis()));
  }

  /** Returns the number of requests that have no final answer yet. */
  public int openRequests() {
    return openRequests.get();
  }

  @Override
  public void handle(HttpExchange exchange) {
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
    Snapshot<GatewayConfiguration> configuration = blackboard.configuration().snapshot();
    return new RequestState(
        exchange, request, configuration.value(), configuration.ageMillis(now), now);
  }

  private void admit(RequestState state) {
    for (RequestFilter filter : filters) {
      Refusal refusal = filter.apply(state);
      if (refusal != null) {
        state.exchange.reply(render(refusal));
        ended(state, refusal.kind().name());
        return;
      }
    }
    state.pool = splits.next(state.route());
    budget.requested(state.pool, time.monotonicMillis());
    new RequestExecution(this, state).start();
  }

  /** Returns the back ends that may serve a request now. */
  List<TrackedBackend> candidates(RequestState state, long nowMillis) {
    String model = state.request.model();
    Long required =
        model == null
            ? null
            : weightsPolicy.requiredVersion(blackboard.weights().value(), model, nowMillis);
    List<TrackedBackend> candidates = new ArrayList<>();
    for (TrackedBackend tracked : blackboard.backends().value().ofPool(state.pool)) {
      boolean moving =
          model != null && blackboard.rollout().value().isMoving(tracked, model, nowMillis);
      if (!tracked.backend().leaving() && !moving && hasWeights(tracked, model, required)) {
        candidates.add(tracked);
      }
    }
    return candidates;
  }

  private static boolean hasWeights(
      TrackedBackend tracked, @Nullable String model, @Nullable Long required) {
    if (model == null || required == null) {
      return true;
    }
    Long held = tracked.weightsOf(model);
    return held == null || held >= required;
  }

  /** Returns whether a version of weights is too old for a request to begin on it now. */
  boolean isOutdated(RequestState state, long weights, long nowMillis) {
    String model = state.request.model();
    if (model == null) {
      return false;
    }
    Long required = weightsPolicy.requiredVersion(blackboard.weights().value(), model, nowMillis);
    return required != null && weights < required;
  }

  CachePlanner cachePlanner() {
    return cachePlanner;
  }

  HttpReply render(Refusal refusal) {
    return callerProtocol.render(refusal);
  }

  void ended(RequestState state, String outcome) {
    openRequests.decrementAndGet();
    boolean late = state.route != null && state.isLateStream();
    if (late || !outcome.equals(COMPLETE)) {
      Logger.info(
          "event=request-ended request={} outcome={} late={} pool={} backend={} sends={} millis={}"
              + " first-event-ms={} longest-gap-ms={} prompt-tokens={}",
          state.request.id(),
          outcome,
          late,
          state.pool,
          state.backend,
          state.sends,
          time.monotonicMillis() - state.arrivedAtMillis,
          state.firstEventMillis,
          state.longestGapMillis,
          state.promptTokens());
    }
  }

  Time time() {
    return time;
  }

  BackendChooser chooser() {
    return chooser;
  }

  BackendProtocol backendProtocol() {
    return backendProtocol;
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
