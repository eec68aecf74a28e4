package org.lockdale.gateway.request;

import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.configuration.Route;

/** Finds the route of a request. */
final class RouteFilter implements RequestFilter {

  /** An unknown route may be one that this node has not heard of, if it has heard nothing since. */
  private static final long MAX_AGE_TO_DENY_MILLIS = 2_000;

  private static final long RETRY_AFTER_MILLIS = 300;

  private final Predicate<String> controlPaths;

  /**
   * Creates a filter.
   *
   * @param controlPaths tells of a path whether it leads to a back end's own interface
   */
  RouteFilter(Predicate<String> controlPaths) {
    this.controlPaths = controlPaths;
  }

  @Override
  public @Nullable Refusal apply(RequestState state) {
    if (controlPaths.test(state.request.path())) {
      return Refusal.of(RefusalKind.NO_ROUTE, "This path is not open to callers.");
    }
    if (!state.configuration.isKnown()) {
      return new Refusal(
          RefusalKind.NOT_CONFIGURED,
          "This node has no configuration yet; try again.",
          RETRY_AFTER_MILLIS);
    }
    Optional<Route> route = state.configuration.route(state.request.host(), state.request.path());
    if (route.isPresent()) {
      state.route = route.get();
      return null;
    }
    return denial(state, RefusalKind.NO_ROUTE, "No route has this host and path.");
  }

  /** Refuses for good only on a configuration that is known to be current. */
  static Refusal denial(RequestState state, RefusalKind kind, String message) {
    if (state.configurationAgeMillis > MAX_AGE_TO_DENY_MILLIS) {
      return new Refusal(
          RefusalKind.NOT_CONFIGURED,
          "The configuration of this node may be out of date; try again.",
          RETRY_AFTER_MILLIS);
    }
    return Refusal.of(kind, message);
  }
}
