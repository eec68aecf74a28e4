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
import org.lockdale.gateway.blackboard.GatewayPhase;
import org.lockdale.gateway.caller.CallerProtocol;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.MalformedRequestException;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.limit.RetryBudget;
import org.lockdale.gateway.usage.RequestCounter;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpExchange;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpProtocolError;
import org.lockdale.http.HttpReply;
import org.lockdale.protocol.generated.AttemptVerdict;

/**
 * Handles a request: reads it, applies the filters, and then tries backends until the request has
 * its response.
 */
public final class RequestPath implements HttpHandler {

  /** Outcome of a request whose complete response was forwarded. */
  static final String COMPLETE = "complete";

  /** Interval at which a request that waits for the state of the node checks it again. */
  private static final long STATE_CHECK_MILLIS = 15;

  /**
   * Time for which a forwarded request waits for the configuration by which the other node has
   * handled it, which may just be spreading.
   */
  private static final long CONFIGURATION_WAIT_MILLIS = 300;

  /**
   * Seconds after which a request that found no memory is retried: slow callers are cut off once
   * they have read nothing for about as long.
   */
  private static final int NO_MEMORY_RETRY_SECONDS = 1;

  private final GatewayBlackboard blackboard;
  private final CallerProtocol callerProtocol;
  private final BackendProtocol backendProtocol;
  private final HttpClient client;
  private final String zone;
  private final RequestServices services;
  private final RetryBudget budget;
  private final long startWaitMillis;
  private final Time time;
  private final List<RequestFilter> filters;
  private final PoolState pools;
  private final TenantLimitStep tenantLimits;
  private final ResumeStep resumes;
  private final AdmissionTermsSource terms;
  private final AtomicInteger openRequests = new AtomicInteger();
  private final OpenExecutions openExecutions = new OpenExecutions();
  private final RequestCounter endedRequests = new RequestCounter();

  /**
   * Creates the path.
   *
   * @param blackboard current state of the node
   * @param callerProtocol protocol of callers
   * @param backendProtocol protocol of backends
   * @param client HTTP client for requests to backends
   * @param limits limits that the path enforces
   * @param nodes supplies the number of nodes of the deployment
   * @param services services of the node
   * @param zone zone of the node
   * @param time clock
   */
  public RequestPath(
      GatewayBlackboard blackboard,
      CallerProtocol callerProtocol,
      BackendProtocol backendProtocol,
      HttpClient client,
      RequestLimits limits,
      IntSupplier nodes,
      RequestServices services,
      String zone,
      Time time) {
    this.blackboard = blackboard;
    this.callerProtocol = callerProtocol;
    this.backendProtocol = backendProtocol;
    this.client = client;
    this.zone = zone;
    this.services = services;
    this.budget =
        RetryBudget.ofDeployment(
            limits.retryRatio(),
            limits.retryAllowance(),
            limits.retryWindow().toMillis(),
            nodes,
            time);
    this.startWaitMillis = limits.startWait().toMillis();
    this.time = time;
    this.tenantLimits = new TenantLimitStep(services.limiter(), time);
    this.resumes = new ResumeStep(services.origins());
    this.terms = new AdmissionTermsSource(services.waitsForRoom());
    this.pools =
        new PoolState(blackboard, services.rates(), nodes, terms, limits.keepsUrgency(), time);
    DenialRule denials = new DenialRule(services.configurations());
    this.filters =
        List.of(
            new PhaseFilter(blackboard.phase()),
            new RouteFilter(backendProtocol::isControlPath, denials),
            new TenantFilter(limits.maxKeyProofAge().toMillis(), denials),
            new QuarantineFilter(services.quarantine(), time));
  }

  /** Returns the number of requests that have no final response yet. */
  public int openRequests() {
    return openRequests.get();
  }

  /** Returns the requests that have ended so far, by outcome. */
  public Map<String, Long> endedByOutcome() {
    return endedRequests.totals();
  }

  @Override
  public void handle(HttpExchange exchange) {
    handle(Arrival.direct(exchange));
  }

  /** Returns whether a request was forwarded by another node; to be asked for peers only. */
  public static boolean isForwarded(HttpExchange exchange) {
    return ForwardHeaders.isForwarded(exchange);
  }

  /** Handles a request that another node has forwarded. */
  public void handleForwarded(HttpExchange exchange) {
    try {
      handle(Arrival.forwarded(exchange));
    } catch (MalformedRequestException malformed) {
      refuseMalformed(exchange, malformed, true);
    }
  }

  private void handle(Arrival arrival) {
    HttpExchange exchange = arrival.exchange();
    if (exchange.disconnected().isDone()) {
      // The caller disconnected while it waited for the start; running its request would be wasted
      // work.
      return;
    }
    boolean lacksConfiguration =
        arrival.fromPeer() && services.configurations().observeRequest(arrival.configuration());
    long maxWaitMillis =
        Math.max(
            isStarting() ? startWaitMillis : 0, lacksConfiguration ? CONFIGURATION_WAIT_MILLIS : 0);
    if (ageMillis(exchange) < maxWaitMillis) {
      exchange
          .eventLoop()
          .schedule(() -> handle(arrival), STATE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else if (lacksConfiguration) {
      // Its caller may have seen the effect of the other node's newer configuration.
      exchange.reply(render(DenialRule.outdated(), true, configuration()));
    } else {
      serve(arrival);
    }
  }

  /**
   * Returns whether the node still lacks its initial configuration, backends or suspects; they
   * arrive shortly after the start.
   */
  private boolean isStarting() {
    return !blackboard.configuration().value().isKnown()
        || blackboard.backends().value().all().isEmpty()
        || blackboard.suspects().snapshot().version() == 0;
  }

  private static long ageMillis(HttpExchange exchange) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - exchange.receivedNanos());
  }

  private void serve(Arrival arrival) {
    HttpExchange exchange = arrival.exchange();
    if (blackboard.phase().value().isEnding()) {
      exchange.closeAfterReply();
    }
    openRequests.incrementAndGet();
    CallerRequest request;
    try {
      request = callerProtocol.read(exchange);
    } catch (MalformedRequestException malformed) {
      openRequests.decrementAndGet();
      refuseMalformed(exchange, malformed, arrival.fromPeer());
      return;
    }
    admit(stateOf(arrival, request));
  }

  private void refuseMalformed(
      HttpExchange exchange, MalformedRequestException malformed, boolean fromPeer) {
    Refusal refusal = Refusal.of(RefusalKind.MALFORMED, malformed.getMessage());
    exchange.reply(render(refusal, fromPeer, configuration()));
  }

  private RequestState stateOf(Arrival arrival, CallerRequest request) {
    HttpExchange exchange = arrival.exchange();
    long now = time.monotonicMillis();
    long arrivedAt = now - ageMillis(exchange) - arrival.elapsedMillis();
    Snapshot<GatewayConfiguration> configuration = blackboard.configuration().snapshot();
    return new RequestState(
        exchange,
        request,
        new CallerResponse(exchange, request, arrivedAt),
        configuration.value(),
        configuration.ageMillis(now),
        arrivedAt,
        arrival.fromPeer());
  }

  private void admit(RequestState state) {
    for (RequestFilter filter : filters) {
      Refusal refusal = filter.apply(state);
      if (refusal != null) {
        refuse(state, refusal);
        return;
      }
    }
    if (state.receivedFromPeer) {
      // Counted towards the limits of the tenant and the retry budget where it arrived first.
      proceed(state);
      return;
    }
    tenantLimits.apply(state, () -> proceed(state), refusal -> refuse(state, refusal));
  }

  private void refuse(RequestState state, Refusal refusal) {
    state.response.openOwn().reply(render(state, refusal));
    ended(state, refusal.kind().name());
  }

  private void proceed(RequestState state) {
    resumes.apply(state, () -> execute(state), reason -> refuseToResume(state, reason));
  }

  private void refuseToResume(RequestState state, String reason) {
    onNotRun(state);
    refuse(
        state,
        new Refusal(
            RefusalKind.UNAVAILABLE,
            "The request was not run: " + reason + ".",
            pools.retryAfterMillis(state)));
  }

  private void execute(RequestState state) {
    if (!state.receivedFromPeer) {
      budget.recordRequest(state.pool);
    }
    RequestExecution execution = new RequestExecution(ExecutionPorts.of(this, state), state);
    openExecutions.add(state, execution);
    execution.start();
  }

  /**
   * Gives all open requests their final response, as the node is about to stop. Streams that have
   * begun are broken off.
   */
  public void endOpenRequests() {
    openExecutions.endAll();
  }

  /** Returns whether requests that may run only once may still be sent to a backend. */
  boolean sendsUnrepeatable() {
    return blackboard.phase().value() != GatewayPhase.FINISHING;
  }

  /** Returns the services of the node. */
  RequestServices services() {
    return services;
  }

  /** Returns the state of the pools. */
  PoolState pools() {
    return pools;
  }

  /** Returns what determines the terms on which requests wait for room. */
  AdmissionTermsSource terms() {
    return terms;
  }

  /** Returns what decides where streams go on. */
  ResumeStep resumes() {
    return resumes;
  }

  /** Returns the configuration in force now. */
  GatewayConfiguration configuration() {
    return blackboard.configuration().value();
  }

  /** Returns the zone of this node. */
  String zone() {
    return zone;
  }

  /** Notifies the observer that the response to a request has started or the request has ended. */
  void workChanged() {
    services.observer().workChanged();
  }

  /** Reports to the observer what an attempt shows about its backend. */
  void report(TrackedBackend target, AttemptResult result) {
    AttemptVerdict verdict =
        switch (result) {
          case COMPLETE -> AttemptVerdict.SUCCEEDED;
          case NOT_SENT -> AttemptVerdict.UNREACHABLE;
          case FAILED, BROKEN_OFF -> AttemptVerdict.FAILED;
          case NOT_RUN -> AttemptVerdict.REJECTED;
          // Nothing was sent, so nothing is known about the backend.
          case WITHDRAWN -> null;
          // This node may have been wrong about the incarnation or weights, so no verdict is
          // reported to other nodes.
          case MISDIRECTED -> null;
        };
    if (verdict == null) {
      services.observer().workChanged();
    } else {
      services.observer().concluded(target.backend().id(), verdict);
    }
  }

  HttpReply render(RequestState state, Refusal refusal) {
    return render(refusal, state.receivedFromPeer, state.configuration);
  }

  private HttpReply render(Refusal refusal, boolean fromPeer, GatewayConfiguration configuration) {
    HttpReply reply = callerProtocol.render(refusal);
    if (fromPeer) {
      ForwardHeaders.markRefusal(reply.headers(), refusal.kind(), configuration.version());
    }
    return reply;
  }

  /**
   * Refunds what the request consumed of its tenant's limit. Must be called when no backend has run
   * the request or ever will.
   */
  void onNotRun(RequestState state) {
    tenantLimits.refund(state);
  }

  void ended(RequestState state, String outcome) {
    openExecutions.remove(state);
    openRequests.decrementAndGet();
    endedRequests.count(outcome);
    if (outcome.equals(COMPLETE)) {
      terms.recordComplete(state);
    }
    EndedRequestLog.log(state, outcome, time.monotonicMillis());
  }

  Time time() {
    return time;
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
    HttpReply reply =
        HttpReply.text(error.status(), error.remedy())
            .with(HttpHeaderNames.CACHE_CONTROL, "no-store");
    return error == HttpProtocolError.NO_MEMORY
        ? reply.with(HttpHeaderNames.RETRY_AFTER, NO_MEMORY_RETRY_SECONDS)
        : reply;
  }
}
