package org.lockdale.router.operator;

import java.util.List;
import java.util.Map;

/**
 * How a request would be routed now.
 *
 * @param configurationVersion version in force
 * @param labels labels of the request
 * @param routes routes in order, with whether each one matches
 * @param route name of the route that decides, or an empty string
 * @param priority priority, or an empty string
 * @param engines engines with whether the route allows each one and why not
 * @param chosenEngine engine that would serve the request, or an empty string
 * @param reason why
 */
public record Explanation(
    long configurationVersion,
    Map<String, String> labels,
    List<RouteLine> routes,
    String route,
    String priority,
    List<EngineLine> engines,
    String chosenEngine,
    String reason) {

  /** A route with whether it matches. */
  public record RouteLine(String route, int order, boolean matches) {}

  /** An engine with what speaks against it, or an empty string where nothing does. */
  public record EngineLine(String engine, String zone, String obstacle) {}
}
