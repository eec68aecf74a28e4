package org.lockdale.gateway.request;

import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.configuration.Route;

/** Finds the route of a request. */
final class RouteFilter implements RequestFilter {

  private static final long RETRY_AFTER_MILLIS = 300;

  private final Predicate<String> controlPaths;
  private final DenialRule denials;

  /**
   * Creates a filter.
   *
   * @param controlPaths whether a path belongs to the control interface of backends
   * @param denials decides on the refusal of an unknown route, which may have been added since
   */
  RouteFilter(Predicate<String> controlPaths, DenialRule denials) {
    this.controlPaths = controlPaths;
    this.denials = denials;
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
    return denials.apply(state, RefusalKind.NO_ROUTE, "No route has this host and path.");
  }
}
