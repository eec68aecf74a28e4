package org.lockdale.gateway.request;

import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.configuration.Route;

/** Finds the route of a request. */
final class RouteFilter implements RequestFilter {

  /**
   * Age of the configuration beyond which an unknown route may be one that was added since; it is
   * then refused as temporary only.
   */
  private static final long MAX_AGE_TO_DENY_MILLIS = 2_000;

  private static final long RETRY_AFTER_MILLIS = 300;

  private final Predicate<String> controlPaths;

  /**
   * Creates a filter.
   *
   * @param controlPaths whether a path belongs to the control interface of backends
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

  /**
   * Returns a final refusal if the configuration is known to be current, and a temporary one
   * otherwise.
   */
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
