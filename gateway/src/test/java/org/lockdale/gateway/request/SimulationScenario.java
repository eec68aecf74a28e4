package org.lockdale.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.Route;
import org.lockdale.gateway.configuration.RouteKind;
import org.lockdale.gateway.configuration.WeightedPool;

/**
 * What stays the same during the simulation of a request.
 *
 * @param kind kind of the route
 * @param resumable whether a stream may be resumed
 * @param maxAttempts maximum number of runs
 * @param eventIds whether the events of a stream have ids
 * @param lastEventId event after which the caller resumes a stream; null if it starts one
 * @param unreachable whether this node can't connect to the pool at first
 * @param receivedFromPeer whether another node has forwarded the request
 * @param weights version of the weights that placements expect; null for any
 */
record SimulationScenario(
    RouteKind kind,
    boolean resumable,
    int maxAttempts,
    boolean eventIds,
    @Nullable String lastEventId,
    boolean unreachable,
    boolean receivedFromPeer,
    @Nullable Long weights) {

  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration LATENCY_OBJECTIVE = Duration.ofSeconds(2);
  private static final Duration GAP_OBJECTIVE = Duration.ofMillis(250);

  /** Returns all scenarios whose streams are resumed by event ids or not at all. */
  static List<SimulationScenario> all() {
    List<SimulationScenario> all = new ArrayList<>();
    for (boolean unreachable : new boolean[] {false, true}) {
      for (boolean fromPeer : new boolean[] {false, true}) {
        all.add(of(RouteKind.IDEMPOTENT, false, 3, true, null, unreachable, fromPeer));
        all.add(of(RouteKind.NON_IDEMPOTENT, false, 3, true, null, unreachable, fromPeer));
        all.add(of(RouteKind.STREAM, true, 2, true, null, unreachable, fromPeer));
        all.add(of(RouteKind.STREAM, true, 3, true, "5", unreachable, fromPeer));
        all.add(of(RouteKind.STREAM, true, 3, false, null, unreachable, fromPeer));
        all.add(of(RouteKind.STREAM, false, 2, true, null, unreachable, fromPeer));
      }
    }
    return all;
  }

  static SimulationScenario of(
      RouteKind kind,
      boolean resumable,
      int maxAttempts,
      boolean eventIds,
      @Nullable String lastEventId,
      boolean unreachable,
      boolean receivedFromPeer) {
    Long weights = maxAttempts % 2 == 0 ? null : Long.valueOf(1);
    return new SimulationScenario(
        kind,
        resumable,
        maxAttempts,
        eventIds,
        lastEventId,
        unreachable,
        receivedFromPeer,
        weights);
  }

  /** Returns how often the request may run. */
  int maxRuns() {
    boolean repeatable = kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
    return repeatable ? maxAttempts : 1;
  }

  boolean isStream() {
    return kind == RouteKind.STREAM;
  }

  /** Returns the state of a request that arrives at time 0. */
  RequestState newState() {
    CallerRequest request =
        new CallerRequest(
            "request",
            "POST",
            "/",
            "/",
            "host",
            "key",
            TIMEOUT.toMillis(),
            null,
            List.of(),
            null,
            lastEventId,
            null,
            new DefaultHttpHeaders(),
            new byte[0]);
    // The exchange is used behind the ports only, which are simulated.
    RequestState state =
        new RequestState(
            null,
            request,
            new CallerResponse(new DiscardedReplies(), request, 0),
            GatewayConfiguration.NONE,
            0,
            0,
            receivedFromPeer);
    state.route =
        new Route(
            "route",
            "host",
            "/",
            kind,
            List.of(new WeightedPool("pool", 1)),
            TIMEOUT,
            LATENCY_OBJECTIVE,
            GAP_OBJECTIVE,
            0,
            maxAttempts,
            false,
            resumable);
    state.pool = "pool";
    return state;
  }
}
