package org.lockdale.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.configuration.Route;
import org.lockdale.gateway.configuration.RouteKind;
import org.lockdale.gateway.configuration.WeightedPool;
import org.lockdale.http.HttpExchange;

/** Requests of callers, and routes that they take, for tests of the request path. */
final class RequestFixtures {

  /** Timeout that the caller of a request has set. */
  static final Duration CALLER_TIMEOUT = Duration.ofSeconds(10);

  private RequestFixtures() {}

  /**
   * Returns a route that allows one attempt.
   *
   * @param timeout timeout and objectives of the route
   */
  static Route route(RouteKind kind, Duration timeout, boolean resumable) {
    return new Route(
        "route",
        "host",
        "/",
        kind,
        List.of(new WeightedPool("pool", 1)),
        timeout,
        timeout,
        timeout,
        0,
        1,
        false,
        resumable);
  }

  /**
   * Returns the request of an exchange.
   *
   * @param lastEventId id of the event after which a stream is resumed, or null for none
   */
  static CallerRequest requestOf(HttpExchange exchange, @Nullable String lastEventId) {
    return new CallerRequest(
        "id",
        exchange.method(),
        exchange.uri(),
        exchange.path(),
        "host",
        "key",
        CALLER_TIMEOUT.toMillis(),
        null,
        List.of(),
        null,
        lastEventId,
        null,
        new DefaultHttpHeaders(),
        exchange.body());
  }

  /** Returns the state of a request that arrives now and takes a route. */
  static RequestState stateOf(HttpExchange exchange, Route route) {
    CallerRequest request = requestOf(exchange, null);
    long now = SystemTime.instance().monotonicMillis();
    RequestState state =
        new RequestState(
            exchange,
            request,
            new CallerResponse(exchange, request, now),
            GatewayConfiguration.NONE,
            0,
            now,
            false);
    state.route = route;
    return state;
  }
}
